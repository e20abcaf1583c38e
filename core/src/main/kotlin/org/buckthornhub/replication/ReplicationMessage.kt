package org.buckthornhub.replication

import org.buckthornhub.control.ControlCommand
import org.buckthornhub.fleet.VmId

/** Message handled by [ReplicationDecider]. */
public sealed interface ReplicationMessage {
    /** Periodic timer event. */
    public data object Tick : ReplicationMessage

    /** The VM may have been suspended together with its monotonic clock, so answers to earlier requests prove no freshness. */
    public data object Suspended : ReplicationMessage

    /** [message] arrived from another member. */
    public data class Received(val message: PeerMessage) : ReplicationMessage

    /** A caller requests that [command] be committed; completed by [ReplicationEffect.AnswerProposal] with the same [token]. */
    public data class Propose(
        val token: Long,
        val command: ControlCommand,
    ) : ReplicationMessage

    /** The queued proposals are due to be appended, with a single sync. */
    public data object Flush : ReplicationMessage

    /** [vms] are added to the VMs that are contacted for discovery of the quorum. */
    public data class DiscoveryVmsAdded(val vms: Set<VmId>) : ReplicationMessage

    /** A caller requests confirmation by a majority that this member still leads; completed by [ReplicationEffect.AnswerConfirmation]. */
    public data class Confirm(val token: Long) : ReplicationMessage
}
