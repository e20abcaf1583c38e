package org.buckthornhub.fleet

/** Merges received entries of daemons: the higher incarnation wins, then the later state in [DaemonState]. */
internal object DaemonMerge {
    fun mergeAll(state: FleetState, entries: List<DaemonEntry>, nowMillis: Long): FleetState =
        entries.fold(state) { merged, entry -> merge(merged, entry, nowMillis) }

    fun merge(state: FleetState, entry: DaemonEntry, nowMillis: Long): FleetState = when {
        entry.vm == state.self.vm -> refute(state, entry)
        isNewer(entry, state.view.daemons[entry.vm]) -> put(state, entry, nowMillis)
        else -> state
    }

    /** Stores [entry] and queues it for dissemination. */
    fun put(state: FleetState, entry: DaemonEntry, nowMillis: Long): FleetState = state.copy(
        view = state.view.copy(daemons = state.view.daemons.put(entry.vm, entry)),
        sinceMillis = state.sinceMillis.put(entry.vm, nowMillis),
        daemonUpdates = state.daemonUpdates.put(entry.vm, state.transmitLimit()),
    )

    fun putSelf(state: FleetState, self: DaemonEntry): FleetState = state.copy(
        self = self,
        view = state.view.copy(daemons = state.view.daemons.put(self.vm, self)),
        daemonUpdates = state.daemonUpdates.put(self.vm, state.transmitLimit()),
    )

    private fun isNewer(entry: DaemonEntry, known: DaemonEntry?): Boolean = when {
        known == null -> entry.state != DaemonState.DEAD
        entry.incarnation != known.incarnation -> entry.incarnation > known.incarnation
        else -> entry.state > known.state
    }

    // A daemon that receives a worse state or a higher incarnation for its own VM refutes it with a still higher incarnation.
    private fun refute(state: FleetState, entry: DaemonEntry): FleetState {
        val self = state.self
        val isContradicted = entry.incarnation > self.incarnation || entry.incarnation == self.incarnation && entry.state > self.state
        return if (isContradicted) putSelf(state, self.copy(incarnation = entry.incarnation + 1)) else state
    }
}
