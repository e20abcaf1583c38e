package org.buckthornhub.replication

import org.buckthornhub.control.ControlCommand
import org.buckthornhub.fleet.VmId

/** What the replication of one member is told. */
public sealed interface ReplicationMessage {
    /** Time went on. */
    public data object Tick : ReplicationMessage

    /** The VM may have stood still, and its monotonic clock with it: what was asked before says nothing of now. */
    public data object Suspended : ReplicationMessage

    public data class Received(val message: PeerMessage) : ReplicationMessage

    /** Commit [command]; answered by [ReplicationEffect.AnswerProposal] with the same [token]. */
    public data class Propose(
        val token: Long,
        val command: ControlCommand,
    ) : ReplicationMessage

    /** Append the proposals that came before this, all with one sync. */
    public data object Flush : ReplicationMessage

    /** The VMs that know of the quorum are others now. */
    public data class Introduced(val vms: Set<VmId>) : ReplicationMessage

    /** Find out whether this member still leads; answered by [ReplicationEffect.AnswerConfirmation]. */
    public data class Confirm(val token: Long) : ReplicationMessage
}
