package org.buckthornhub.instancepool.waiting

import org.buckthornhub.instancepool.PoolState

/** Decides when refused callers are to return. */
internal object ReturnDecider {
    /** Part of the capacity that returning callers may use; the rest is left to those that were not refused before. */
    private const val RETURNING_PART = 0.5

    /** An election of the control quorum takes about a second. */
    private const val ELECTION_MILLIS = 1_000.0

    /**
     * Returns [state] with one more refused caller, and the time in ms after which it is to return.
     *
     * @param kind what the caller asked for; null if its refusal concerns all groups
     * @param freeInMillis expected time until there is capacity
     */
    fun returnOf(state: PoolState, kind: HoldKind?, freeInMillis: Double, maxMillis: Long, nowMillis: Long): Pair<PoolState, Long> {
        val known = state.waits.returns[kind] ?: ReturnSchedule()
        val (next, afterMillis) = known.next(nowMillis, freeInMillis, spacingMillis(state, kind, nowMillis), maxMillis)
        return state.copy(waits = state.waits.copy(returns = state.waits.returns.put(kind, next))) to afterMillis
    }

    /** Returns the expected time in ms until what was refused for [cause] can be served again. */
    fun freeInMillis(state: PoolState, kind: HoldKind?, cause: ReturnCause, nowMillis: Long): Double = when (cause) {
        is ReturnCause.Busy -> kind?.let { state.waits.holds.costMillis(it, nowMillis) } ?: HoldTimes.UNMEASURED_MILLIS
        is ReturnCause.NoPrimary -> kind?.let { state.waits.outages.remainingMillis(it, nowMillis) }?.toDouble() ?: ELECTION_MILLIS
        is ReturnCause.StaleConfiguration -> Outages.remainingMillis(cause.elapsedMillis, ELECTION_MILLIS).toDouble()
    }

    private fun spacingMillis(state: PoolState, kind: HoldKind?, nowMillis: Long): Double {
        val instances = state.instances.values.filter { kind == null || it.record.group == kind.group }
        val usable = if (kind?.needsPrimary == true) instances.take(1) else instances
        val perMilli = usable.sumOf { instance ->
            val used = kind ?: HoldKind(instance.record.group, needsPrimary = false)
            state.limitOf(used.group) / state.waits.holds.costMillis(used, nowMillis)
        }
        return if (perMilli > 0) 1 / (perMilli * RETURNING_PART) else HoldTimes.UNMEASURED_MILLIS
    }
}
