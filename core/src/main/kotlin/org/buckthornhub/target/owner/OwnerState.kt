package org.buckthornhub.target.owner

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.group.Position
import org.buckthornhub.pool.SlotPool
import org.buckthornhub.queue.CallQueue
import org.buckthornhub.queue.QueuePolicy
import org.buckthornhub.repeat.RequestLedger
import org.buckthornhub.routing.PositionSample
import org.buckthornhub.statement.TransactionId
import org.buckthornhub.target.TargetEntry
import org.buckthornhub.target.TargetId

/**
 * All that the owner of one target knows.
 *
 * @property calls calls without an answer, by ticket
 * @property behind reads that wait for the target to apply their position, with the end of their wait
 * @property ended transactions that ended without a commit, with the time
 * @property progress newest word of each other instance of the group
 * @property position how far the target is known to have applied
 * @property samples where the primary was when; taken by its owner, fetched by the owners of replicas
 * @property fetchedMillis when samples were last taken or fetched
 * @property sampledUntilMillis until when the owner of the primary takes samples
 * @property serviceMillis moving average of the time that a call holds a connection
 */
public data class OwnerState(
    val entry: TargetEntry,
    val pool: SlotPool,
    val queue: CallQueue,
    val calls: PersistentMap<Long, PendingCall> = persistentMapOf(),
    val behind: PersistentMap<Long, Long> = persistentMapOf(),
    val transactions: PersistentMap<TransactionId, OpenTransaction> = persistentMapOf(),
    val ended: PersistentMap<TransactionId, Long> = persistentMapOf(),
    val unconfirmed: PersistentMap<Long, UnconfirmedWrite> = persistentMapOf(),
    val progress: PersistentMap<TargetId, InstanceProgress> = persistentMapOf(),
    val ledger: RequestLedger = RequestLedger(),
    val position: Position = Position(entry.term, entry.applied),
    val serviceMillis: Double = 1.0,
    val samples: PersistentList<PositionSample> = persistentListOf(),
    val fetchedMillis: Long = Long.MIN_VALUE / 2,
    val isFetching: Boolean = false,
    val sampledUntilMillis: Long = 0,
    val isWatchingTarget: Boolean = false,
    val isWatchingGroup: Boolean = false,
) {
    public companion object {
        /** The state before any call. */
        public fun of(entry: TargetEntry, limits: OwnerLimits, policy: QueuePolicy): OwnerState =
            OwnerState(entry, SlotPool(entry.slots), policy.emptyQueue(limits.queueCapacity))
    }
}
