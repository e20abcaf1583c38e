package org.buckthornhub.overload

import kotlinx.collections.immutable.persistentListOf
import kotlin.random.Random

/**
 * Replays a flood without a network: clients that send large messages in pieces and never complete them, among callers whose
 * messages are small. Counts how many of the callers' messages were refused.
 */
internal class OverloadReplay(
    choice: ClosingChoice,
    private val random: Random,
) {
    private val decider = OverloadDecider(choice)
    private var state = OverloadState(OverloadLimits(BUDGET, maxConnections = CALLERS + CLIENTS / 2))
    private val callers = List(CALLERS) { checkNotNull(open()) }.onEach { state = decider.establish(state, it) }
    private var clients = persistentListOf<GuardedId>()
    var refusedCallers = 0
        private set

    fun run() {
        repeat(STEPS) { step ->
            open()?.let { clients = clients.add(it) }
            repeat(PIECES) { grow(clients.random(random)) }
            ask(callers[random.nextInt(CALLERS)])
            check(state.heldBytes <= BUDGET) { "${state.heldBytes} bytes are held at step $step" }
            check(state.heldBytes == state.connections.values.sumOf { it.holding.bytes })
            check(state.connections.size <= state.limits.maxConnections)
        }
    }

    private fun open(): GuardedId? {
        val id = GuardedId(state.nextId)
        return take(decider.open(state)).let { if (it.isAccepted) id else null }
    }

    private fun grow(client: GuardedId) {
        val held = state.connections[client]?.holding?.freeableBytes ?: 0
        val isAccepted = take(decider.hold(state, client, Holding(freeableBytes = minOf(held + PIECE, MESSAGE)))).isAccepted
        if (!isAccepted) clients = clients.remove(client)
    }

    private fun ask(caller: GuardedId) {
        val isAccepted = take(decider.hold(state, caller, Holding(boundBytes = SMALL))).isAccepted
        if (isAccepted) state = decider.hold(state, caller, Holding.NONE).state else refusedCallers++
    }

    private fun take(step: OverloadStep): OverloadStep = step.also { state = it.state }

    private companion object {
        const val BUDGET = 6_000_000L
        const val CALLERS = 20
        const val CLIENTS = 40
        const val STEPS = 500
        const val PIECE = 65_536L
        const val MESSAGE = 983_040L
        const val PIECES = 10
        const val SMALL = 40_000L
    }
}
