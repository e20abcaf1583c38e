package org.buckthornhub.lease

import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.group.GroupId

/** State transitions of a lease holder; each is safe on its own and in any order. */
internal class HolderTransitions(private val settings: LeaseSettings) {
    /** Records the grant of [lease] in the answer to request [sequence], which was sent at [sentMillis]. */
    fun grant(state: HolderState, lease: GroupTerm, sequence: Long, sentMillis: Long): HolderState {
        val known = state.held.leases[lease.group]
        val isStale = sequence <= (state.staleThrough[lease.group] ?: 0)
        if (isStale || lease.group in state.drainedAtMillis || known != null && known.term > lease.term) return state
        val untilMillis = sentMillis + settings.holderMillis
        val isOlder = known != null && known.term == lease.term && known.validUntilMillis >= untilMillis
        return if (isOlder) state else state.withLease(Lease(lease.group, lease.term, untilMillis))
    }

    /** Starts to drain the lease of [group]: no new write may start under it. */
    fun drain(state: HolderState, group: GroupId, nowMillis: Long): HolderState {
        val lease = state.held.leases[group]
        if (lease == null || group in state.drainedAtMillis) return state
        return state
            .withLease(lease.copy(isDraining = true))
            .copy(drainedAtMillis = state.drainedAtMillis.put(group, nowMillis + settings.drainMillis))
    }

    /** Releases the leases whose drain has ended; answers to earlier requests can no longer grant them. */
    fun releaseDrained(state: HolderState, nowMillis: Long): HolderState = state.drainedAtMillis
        .filterValues { it <= nowMillis }
        .keys
        .fold(state) { next, group -> release(next, GroupTerm(group, next.held.leases.getValue(group).term)) }

    /** Releases [lease] at once, whether it is held or not. */
    fun release(state: HolderState, lease: GroupTerm): HolderState = state.copy(
        held = HeldLeases(state.held.leases.remove(lease.group)),
        drainedAtMillis = state.drainedAtMillis.remove(lease.group),
        pendingReleases = state.pendingReleases.put(lease.group, lease.term),
        staleThrough = state.staleThrough.put(lease.group, state.nextSequence - 1),
    )

    /** Handles the request of the control leader to release [lease]. */
    fun requestRelease(state: HolderState, lease: GroupTerm, nowMillis: Long): HolderState {
        val held = state.held.leases[lease.group] ?: return release(state, lease)
        return if (held.term > lease.term) state else drain(state, lease.group, nowMillis)
    }

    /** Records which reports and releases the control leader has received, according to [response]. */
    fun recordAcknowledgement(state: HolderState, response: RenewResponse): HolderState {
        if (response.controlTerm > state.controlTerm) {
            return state.copy(controlTerm = response.controlTerm, acknowledgedReports = persistentMapOf())
        }
        val sent = state.sentReports[response.sequence].orEmpty()
        val known = if (response.reportAll) {
            persistentMapOf()
        } else {
            sent.fold(state.acknowledgedReports) { all, report ->
                all.put(report.target, report)
            }
        }
        val acknowledgedGroups = state.pendingReleases.keys.filter { response.sequence > (state.staleThrough[it] ?: 0) }
        return state.copy(
            acknowledgedReports = known,
            pendingReleases = acknowledgedGroups.fold(state.pendingReleases) { left, group -> left.remove(group) },
        )
    }

    private fun HolderState.withLease(lease: Lease): HolderState = copy(held = HeldLeases(held.leases.put(lease.group, lease)))
}
