package org.buckthornhub.fleet

import org.buckthornhub.target.TargetEntry

/** Merges reports about targets: the higher term wins, then the more recent report. */
internal object TargetMerge {
    /** Stores what a target reported directly to this daemon; it always replaces the known entry. */
    fun mergeOwn(state: FleetState, entry: TargetEntry, nowMillis: Long): FleetState = put(state, entry.copy(announcedMillis = nowMillis))

    fun mergeAll(state: FleetState, updates: List<TargetUpdate>, nowMillis: Long, dropMillis: Long): FleetState = updates
        .filter { it.ageMillis in 0..<dropMillis }
        .map { it.entry.copy(announcedMillis = nowMillis - it.ageMillis) }
        .filter { isNewer(it, state.view.targets[it.target]) }
        .fold(state) { merged, entry -> put(merged, entry) }

    private fun put(state: FleetState, entry: TargetEntry): FleetState {
        val known = state.view.targets[entry.target]
        val updated = state.copy(view = state.view.copy(targets = state.view.targets.put(entry.target, entry)))
        if (known != null && isSame(known, entry)) return updated
        return updated.copy(targetUpdates = state.targetUpdates.put(entry.target, state.transmitLimit()))
    }

    private fun isNewer(entry: TargetEntry, known: TargetEntry?): Boolean = when {
        known == null -> true
        entry.term != known.term -> entry.term > known.term
        else -> entry.announcedMillis > known.announcedMillis
    }

    // Log positions change continuously, so a change of them alone is not disseminated as an update.
    private fun isSame(known: TargetEntry, entry: TargetEntry): Boolean =
        known.copy(received = entry.received, applied = entry.applied, announcedMillis = entry.announcedMillis) == entry
}
