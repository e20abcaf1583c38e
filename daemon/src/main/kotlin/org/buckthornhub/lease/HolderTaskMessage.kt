package org.buckthornhub.lease

import org.buckthornhub.group.GroupLeadership

/** What the task that holds leases is told. */
internal sealed interface HolderTaskMessage {
    /** Time to renew. */
    data object Renew : HolderTaskMessage

    /** The control leader offers the lease of a new term before the feed has brought it. */
    data class Offered(val leadership: GroupLeadership) : HolderTaskMessage

    /** For the decider. */
    data class Decide(val message: HolderMessage) : HolderTaskMessage

    /** The daemon stops: hand every lease back. */
    data object Leave : HolderTaskMessage
}
