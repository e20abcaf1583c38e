package org.buckthornhub.lease

import org.buckthornhub.group.GroupLeadership

/** Messages handled by [HolderTask]. */
internal sealed interface HolderTaskMessage {
    /** Renews the leases. */
    data object Renew : HolderTaskMessage

    /** The control leader has offered the lease of a new term, ahead of the feed. */
    data class Offered(val leadership: GroupLeadership) : HolderTaskMessage

    /** Passes [message] to the decider. */
    data class Decide(val message: HolderMessage) : HolderTaskMessage

    /** Releases all leases, because the daemon is shutting down. */
    data object Leave : HolderTaskMessage
}
