package org.buckthornhub.instancepool.waiting

import org.buckthornhub.group.GroupId
import org.buckthornhub.instancepool.ConnectionRequest
import org.buckthornhub.instancepool.ConnectionRequirement
import org.buckthornhub.instancepool.PendingConnectionRequest

/**
 * Statements that hold their connections for similar times.
 *
 * @property isTransaction whether the connection is held until a transaction ends
 */
public data class HoldKind(
    val group: GroupId,
    val needsPrimary: Boolean,
    val isTransaction: Boolean = false,
) {
    /** What is asked for, by single statements and transactions alike. */
    internal val service: HoldKind get() = copy(isTransaction = false)

    public companion object {
        public fun of(request: ConnectionRequest, hasBegun: Boolean): HoldKind =
            HoldKind(request.group, request.requirement is ConnectionRequirement.Primary, hasBegun)

        public fun of(waiting: PendingConnectionRequest): HoldKind = of(waiting.request, waiting.hasBegun)
    }
}
