package org.buckthornhub.instancepool

import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.instancepool.waiting.RefusalReason
import org.buckthornhub.organisation.OrganisationId

/** Side effects that the task of the connection pool carries out. */
public sealed interface PoolEffect {
    public data class Open(
        val connection: ConnectionId,
        val instance: InstanceRecord,
        val organisation: OrganisationId,
    ) : PoolEffect

    public data class Close(val connection: ConnectionId) : PoolEffect

    /** Completes the request [ticket] with [connection]. @property estimatedMillis wait that was expected on arrival */
    public data class CheckOut(
        val ticket: Long,
        val connection: PoolConnection,
        val instance: InstanceRecord,
        val estimatedMillis: Long? = null,
    ) : PoolEffect

    /**
     * Refuses the request [ticket] because no connection became available in time; [hasNoPrimary] if the group has no known primary.
     *
     * @property retryAfterMillis when the caller is to return; null where a fixed time is used
     * @property estimatedMillis wait that was expected on arrival; null if there was no estimate
     */
    public data class Refuse(
        val ticket: Long,
        val hasNoPrimary: Boolean,
        val reason: RefusalReason = RefusalReason.EXPIRED,
        val retryAfterMillis: Long? = null,
        val estimatedMillis: Long? = null,
    ) : PoolEffect

    /** Answers [PoolMessage.ReturnAsked]. */
    public data class Return(
        val ticket: Long,
        val retryAfterMillis: Long,
    ) : PoolEffect
}
