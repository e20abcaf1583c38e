package org.buckthornhub.target.owner

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.group.Position
import org.buckthornhub.pool.SlotPool
import org.buckthornhub.queue.CallQueue
import org.buckthornhub.queue.QueuePolicy
import org.buckthornhub.repeat.DeduplicationTable
import org.buckthornhub.routing.PositionSample
import org.buckthornhub.statement.TransactionId
import org.buckthornhub.target.TargetEntry
import org.buckthornhub.target.TargetId

/**
 * State of the owner of one target.
 *
 * @property calls unanswered calls by ticket
 * @property waitingReads tickets of reads that wait for the target to apply their position, each with the time at which its wait ends
 * @property endedTransactions transactions that were committed or rolled back here, each with the time of its end
 * @property unconfirmed executed writes that wait for a second instance, by ticket
 * @property progress latest progress that each other instance of the group reported
 * @property position latest position that the target is known to have applied
 * @property samples positions of the primary over time; its owner takes them, and the owners of replicas fetch them
 * @property samplesRequestedMillis time at which samples were last taken or fetched
 * @property samplingUntilMillis time until which the owner of the primary takes samples
 * @property serviceMillis moving average of the time in ms that a call occupies a connection
 */
public data class OwnerState(
    val entry: TargetEntry,
    val pool: SlotPool,
    val queue: CallQueue,
    val calls: PersistentMap<Long, PendingCall> = persistentMapOf(),
    val waitingReads: PersistentMap<Long, Long> = persistentMapOf(),
    val transactions: PersistentMap<TransactionId, OpenTransaction> = persistentMapOf(),
    val endedTransactions: PersistentMap<TransactionId, Long> = persistentMapOf(),
    val unconfirmed: PersistentMap<Long, UnconfirmedWrite> = persistentMapOf(),
    val progress: PersistentMap<TargetId, InstanceProgress> = persistentMapOf(),
    val ledger: DeduplicationTable = DeduplicationTable(),
    val position: Position = Position(entry.term, entry.applied),
    val serviceMillis: Double = 1.0,
    val samples: PersistentList<PositionSample> = persistentListOf(),
    val samplesRequestedMillis: Long = Long.MIN_VALUE / 2,
    val isFetching: Boolean = false,
    val samplingUntilMillis: Long = 0,
    val isPollingTarget: Boolean = false,
    val isPollingGroup: Boolean = false,
) {
    public companion object {
        /** The state before any call. */
        public fun of(entry: TargetEntry, limits: OwnerLimits, policy: QueuePolicy): OwnerState =
            OwnerState(entry, SlotPool(entry.slots), policy.emptyQueue(limits.queueCapacity))
    }
}
