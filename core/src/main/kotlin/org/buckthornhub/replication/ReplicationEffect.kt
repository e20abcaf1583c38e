package org.buckthornhub.replication

import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.PersistentList
import org.buckthornhub.control.CommandOutcome
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.VmId

/** Effects requested by [ReplicationDecider], to be executed in order: a sync precedes every effect that depends on it. */
public sealed interface ReplicationEffect {
    /** Append [records] to the storage and sync. */
    public data class Persist(val records: PersistentList<DurableRecord>) : ReplicationEffect

    /** Atomically replace all stored records by [records], and sync. */
    public data class Rewrite(val records: PersistentList<DurableRecord>) : ReplicationEffect

    /** Send [message] to the VM [to]. */
    public data class Send(
        val to: VmId,
        val message: PeerMessage,
    ) : ReplicationEffect

    /** Enqueue [ReplicationMessage.Flush] behind the messages that are already queued. */
    public data object ScheduleFlush : ReplicationEffect

    /** Complete the proposal with [token]. */
    public data class AnswerProposal(
        val token: Long,
        val result: Result<CommandOutcome, ProxyError>,
    ) : ReplicationEffect

    /**
     * Complete the leadership confirmation with [token].
     *
     * @property result the control term
     */
    public data class AnswerConfirmation(
        val token: Long,
        val result: Result<Long, ProxyError>,
    ) : ReplicationEffect
}
