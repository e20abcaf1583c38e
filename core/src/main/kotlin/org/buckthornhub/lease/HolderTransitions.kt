package org.buckthornhub.lease

import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.group.GroupId

/** The single steps of a holder; each one is safe by itself, in any order. */
internal class HolderTransitions(private val settings: LeaseSettings) {
    /** Takes the grant of [lease] by the answer to request [sequence], which was sent at [sentMillis]. */
    fun grant(state: HolderState, lease: GroupTerm, sequence: Long, sentMillis: Long): HolderState {
        val known = state.held.leases[lease.group]
        val isBarred = sequence <= (state.barred[lease.group] ?: 0)
        if (isBarred || lease.group in state.drainedAtMillis || known != null && known.term > lease.term) return state
        val untilMillis = sentMillis + settings.holderMillis
        val isOlder = known != null && known.term == lease.term && known.validUntilMillis >= untilMillis
        return if (isOlder) state else state.withLease(Lease(lease.group, lease.term, untilMillis))
    }

    /** Starts to hand back [group]: no new write from now on. */
    fun drain(state: HolderState, group: GroupId, nowMillis: Long): HolderState {
        val lease = state.held.leases[group]
        if (lease == null || group in state.drainedAtMillis) return state
        return state
            .withLease(lease.copy(isDraining = true))
            .copy(drainedAtMillis = state.drainedAtMillis.put(group, nowMillis + settings.drainMillis))
    }

    /** Gives up what was handed back and is drained; answers that are still on their way can't bring it back. */
    fun releaseDrained(state: HolderState, nowMillis: Long): HolderState = state.drainedAtMillis
        .filterValues { it <= nowMillis }
        .keys
        .fold(state) { next, group -> release(next, GroupTerm(group, next.held.leases.getValue(group).term)) }

    /** Gives up [lease] at once, held or not. */
    fun release(state: HolderState, lease: GroupTerm): HolderState = state.copy(
        held = HeldLeases(state.held.leases.remove(lease.group)),
        drainedAtMillis = state.drainedAtMillis.remove(lease.group),
        released = state.released.put(lease.group, lease.term),
        barred = state.barred.put(lease.group, state.nextSequence - 1),
    )

    /** The control leader wants [lease] back. */
    fun handBack(state: HolderState, lease: GroupTerm, nowMillis: Long): HolderState {
        val held = state.held.leases[lease.group] ?: return release(state, lease)
        return if (held.term > lease.term) state else drain(state, lease.group, nowMillis)
    }

    /** Takes note of what the control leader has heard with the request that [response] answers. */
    fun acknowledge(state: HolderState, response: RenewResponse): HolderState {
        if (response.controlTerm > state.controlTerm) {
            return state.copy(controlTerm = response.controlTerm, reported = persistentMapOf())
        }
        val told = state.sentReports[response.sequence].orEmpty()
        val known = if (response.reportAll) {
            persistentMapOf()
        } else {
            told.fold(state.reported) { all, report ->
                all.put(report.target, report)
            }
        }
        val heard = state.released.keys.filter { response.sequence > (state.barred[it] ?: 0) }
        return state.copy(reported = known, released = heard.fold(state.released) { left, group -> left.remove(group) })
    }

    private fun HolderState.withLease(lease: Lease): HolderState = copy(held = HeldLeases(held.leases.put(lease.group, lease)))
}
