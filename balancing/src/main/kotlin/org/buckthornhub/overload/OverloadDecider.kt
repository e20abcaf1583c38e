package org.buckthornhub.overload

/** Decides what the connections of the process may hold. */
public class OverloadDecider(private val choice: ClosingChoice = LargestFirstChoice) {
    /** Opens the connection with the id [OverloadState.nextId]. */
    public fun open(state: OverloadState): OverloadStep {
        val id = GuardedId(state.nextId)
        val counted = state.copy(nextId = state.nextId + 1)
        val added = counted.copy(connections = counted.connections.put(id, GuardedConnection(id)))
        if (added.connections.size <= state.limits.maxConnections) return OverloadStep(added)
        val victim = choice.forConnection(added.connections.values, id)
            ?: return OverloadStep(counted.copy(refusedConnections = state.refusedConnections + 1), isAccepted = false)
        return OverloadStep(released(added, victim).copy(closedForConnections = state.closedForConnections + 1), listOf(victim))
    }

    /** Counts a connection that was refused as soon as it was accepted. */
    public fun refuse(state: OverloadState): OverloadState = state.copy(refusedConnections = state.refusedConnections + 1)

    /** Notes that [id] has opened a session or got an answer to a request. */
    public fun establish(state: OverloadState, id: GuardedId): OverloadState =
        state.connections[id]?.let { state.with(it.copy(isEstablished = true)) } ?: state

    /** Notes since when a message of [id] is incomplete, and null once none is. */
    public fun incomplete(state: OverloadState, id: GuardedId, sinceMillis: Long?): OverloadState =
        state.connections[id]?.let { state.with(it.copy(incompleteSinceMillis = sinceMillis)) } ?: state

    /** Changes what [id] holds. More than before is accepted only if it fits the budget, after others have been closed if need be. */
    public fun hold(state: OverloadState, id: GuardedId, holding: Holding): OverloadStep {
        val before = state.connections[id] ?: return OverloadStep(state, isAccepted = false)
        val changed = state.with(before.copy(holding = holding))
        val excess = changed.heldBytes - state.limits.budgetBytes
        if (excess <= 0 || holding.bytes <= before.holding.bytes) return OverloadStep(changed)
        val victims = choice.forBytes(changed.connections.values, excess)
        val freed = victims.sumOf { changed.connections.getValue(it).holding.freeableBytes }
        // Without room even after closing others, it would help nobody to close them.
        if (id in victims || freed < excess) {
            return OverloadStep(released(state, id).copy(closedForBytes = state.closedForBytes + 1), isAccepted = false)
        }
        val left = victims.fold(changed) { next, victim -> released(next, victim) }
        return OverloadStep(left.copy(closedForBytes = state.closedForBytes + victims.size), victims)
    }

    /** Removes [id], whose connection has ended and which holds nothing more. */
    public fun end(state: OverloadState, id: GuardedId): OverloadState = state.without(id)

    /** Closes connections with a message that has been incomplete for too long. */
    public fun expire(state: OverloadState, nowMillis: Long): OverloadStep {
        val overdue = state.connections.values
            .filter { connection -> connection.incompleteSinceMillis?.let { nowMillis - it >= state.limits.incompleteMillis } ?: false }
            .map { it.id }
        if (overdue.isEmpty()) return OverloadStep(state)
        val left = overdue.fold(state) { next, id -> released(next, id) }
        return OverloadStep(left.copy(closedIncomplete = state.closedIncomplete + overdue.size), overdue)
    }

    // A request that is being processed goes on without its connection, so it is counted until it ends.
    private fun released(state: OverloadState, id: GuardedId): OverloadState {
        val closed = state.connections[id] ?: return state
        if (closed.holding.boundBytes == 0L) return state.without(id)
        return state.with(closed.copy(holding = closed.holding.copy(freeableBytes = 0), incompleteSinceMillis = null))
    }
}
