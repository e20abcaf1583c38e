package org.buckthornhub.overload

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.update
import org.buckthornhub.clock.Clock

/**
 * Carries out the decisions of [OverloadDecider] for all connections of the process, which may belong to several event loops.
 *
 * A connection has to know whether its bytes are accepted before it stores them. So the state is replaced at once, atomically, and
 * not by a message to a task. Small messages don't reach this class.
 */
public class ConnectionGuard(
    limits: OverloadLimits,
    private val clock: Clock,
    private val decider: OverloadDecider = OverloadDecider(),
) {
    private val snapshot = MutableStateFlow(Snapshot(OverloadState(limits)))
    private val resets = MutableStateFlow<PersistentMap<GuardedId, () -> Unit>>(persistentMapOf())

    /** Sockets that are open, also those that are about to be closed. */
    private val sockets = MutableStateFlow(0)

    public fun current(): OverloadState = snapshot.value.state

    /** Counts an accepted socket until [closed]; returns false if it has to be closed at once. */
    public fun accept(): Boolean {
        val most = current().limits.run { maxConnections + maxConnections / CLOSING_DIVISOR + MIN_CLOSING }
        while (true) {
            val open = sockets.value
            if (open >= most) {
                decide { OverloadStep(decider.refuse(it)) }
                return false
            }
            if (sockets.compareAndSet(open, open + 1)) return true
        }
    }

    /** Notes that a socket was closed that [accept] has counted. */
    public fun closed() {
        sockets.update { it - 1 }
    }

    /** Admits a new connection, which [reset] ends at once from any thread; returns null if it is refused. */
    public fun open(reset: () -> Unit): GuardedId? {
        while (true) {
            val before = snapshot.value
            val step = decider.open(before.state)
            if (!snapshot.compareAndSet(before, Snapshot(step.state))) continue
            val id = GuardedId(before.state.nextId)
            if (step.isAccepted) resets.update { it.put(id, reset) }
            carryOut(step)
            return id.takeIf { step.isAccepted }
        }
    }

    /** Notes that [id] has opened a session or got an answer. */
    public fun establish(id: GuardedId) {
        decide { OverloadStep(decider.establish(it, id)) }
    }

    /** Notes that a message of [id] is incomplete, from now on, or that none is. */
    public fun incomplete(id: GuardedId, isIncomplete: Boolean) {
        val since = if (isIncomplete) clock.nowMillis() else null
        decide { OverloadStep(decider.incomplete(it, id, since)) }
    }

    /** Changes what [id] holds; returns false if it may not hold that and has to be closed. */
    public fun hold(id: GuardedId, holding: Holding): Boolean = decide { decider.hold(it, id, holding) }.isAccepted

    /** Notes that the connection [id] has ended and that it holds nothing more. */
    public fun end(id: GuardedId) {
        resets.update { it.remove(id) }
        decide { OverloadStep(decider.end(it, id)) }
    }

    /** Closes connections that don't complete their messages, and logs what was closed, at most once in a period. */
    public suspend fun run() {
        var reported = current()
        while (true) {
            delay(PERIOD_MILLIS)
            val now = clock.nowMillis()
            decide { decider.expire(it, now) }
            reported = report(reported)
        }
    }

    private fun report(before: OverloadState): OverloadState {
        val now = current()
        val counts = listOf(
            now.closedForBytes - before.closedForBytes to "to stay within the budget of ${now.limits.budgetBytes} bytes",
            now.closedForConnections - before.closedForConnections to "to make room for others",
            now.closedIncomplete - before.closedIncomplete to "as a message was not complete after ${now.limits.incompleteMillis} ms",
            now.refusedConnections - before.refusedConnections to "on arrival, as ${now.limits.maxConnections} were open",
        ).filter { (count, _) -> count > 0 }
        if (counts.isEmpty()) return before
        val closed = counts.joinToString { (count, reason) -> "$count $reason" }
        logger.warn { "closed connections: $closed; ${now.connections.size} are open and hold ${now.heldBytes} bytes" }
        return now
    }

    private inline fun decide(decision: (OverloadState) -> OverloadStep): OverloadStep {
        while (true) {
            val before = snapshot.value
            val step = decision(before.state)
            if (step.state !== before.state && !snapshot.compareAndSet(before, Snapshot(step.state))) continue
            carryOut(step)
            return step
        }
    }

    private fun carryOut(step: OverloadStep): Unit = step.closed.forEach { id -> resets.value[id]?.invoke() }

    /** Compared by identity, as a comparison of whole states would cost more than the decision. */
    private class Snapshot(val state: OverloadState)

    public companion object {
        /** Bytes that a connection may hold without being counted. Most messages are smaller, and the number of connections is limited. */
        public const val SMALL_BYTES: Int = 4_096

        /** Sockets that may be about to be closed, as a part of the limit, and at least. */
        private const val CLOSING_DIVISOR = 8
        private const val MIN_CLOSING = 8
        private const val PERIOD_MILLIS = 1_000L
        private val logger = KotlinLogging.logger {}
    }
}
