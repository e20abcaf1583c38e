package org.buckthornhub.replication

import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.PersistentList
import org.buckthornhub.control.CommandOutcome
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.VmId

/** What the replication of one member wants done, in order: syncing always comes before what depends on it. */
public sealed interface ReplicationEffect {
    /** Add [records] and sync. */
    public data class Persist(val records: PersistentList<DurableRecord>) : ReplicationEffect

    /** Replace everything on disk by [records] at once, and sync. */
    public data class Rewrite(val records: PersistentList<DurableRecord>) : ReplicationEffect

    public data class Send(
        val to: VmId,
        val message: PeerMessage,
    ) : ReplicationEffect

    /** Hand [ReplicationMessage.Flush] back, behind the messages that wait already. */
    public data object ScheduleFlush : ReplicationEffect

    public data class AnswerProposal(
        val token: Long,
        val result: Result<CommandOutcome, ProxyError>,
    ) : ReplicationEffect

    /** @property result the control term */
    public data class AnswerConfirmation(
        val token: Long,
        val result: Result<Long, ProxyError>,
    ) : ReplicationEffect
}
