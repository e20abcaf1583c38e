package org.buckthornhub.fleet

import org.buckthornhub.target.TargetEntry

/** Merges what this daemon hears of targets: the higher term wins, then what was heard later. */
internal object TargetMerge {
    /** What the target said itself is always taken. */
    fun heard(state: FleetState, entry: TargetEntry, nowMillis: Long): FleetState = put(state, entry.copy(announcedMillis = nowMillis))

    fun mergeAll(state: FleetState, news: List<TargetNews>, nowMillis: Long, dropMillis: Long): FleetState = news
        .filter { it.ageMillis < dropMillis }
        .map { it.entry.copy(announcedMillis = nowMillis - it.ageMillis) }
        .filter { isNewer(it, state.view.targets[it.target]) }
        .fold(state) { merged, entry -> put(merged, entry) }

    private fun put(state: FleetState, entry: TargetEntry): FleetState {
        val known = state.view.targets[entry.target]
        val updated = state.copy(view = state.view.copy(targets = state.view.targets.put(entry.target, entry)))
        if (known != null && isSame(known, entry)) return updated
        return updated.copy(targetNews = state.targetNews.put(entry.target, state.repeats()))
    }

    private fun isNewer(entry: TargetEntry, known: TargetEntry?): Boolean = when {
        known == null -> true
        entry.term != known.term -> entry.term > known.term
        else -> entry.announcedMillis > known.announcedMillis
    }

    // Positions change all the time and are not worth a message to every daemon.
    private fun isSame(known: TargetEntry, entry: TargetEntry): Boolean =
        known.copy(received = entry.received, applied = entry.applied, announcedMillis = entry.announcedMillis) == entry
}
