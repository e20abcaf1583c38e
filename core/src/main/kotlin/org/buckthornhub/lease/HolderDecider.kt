package org.buckthornhub.lease

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.buckthornhub.decision.Decider
import org.buckthornhub.decision.Decision

/**
 * Acquires, renews and releases the leases of one daemon.
 *
 * The validity of a lease is counted from before its request was sent. A lease that the daemon should no longer hold is
 * released after its in-flight writes have had time to end.
 */
public class HolderDecider(settings: LeaseSettings) : Decider<HolderState, HolderMessage, HolderEffect> {
    private val transitions = HolderTransitions(settings)

    override fun decide(state: HolderState, message: HolderMessage, nowMillis: Long): Decision<HolderState, HolderEffect> = when (message) {
        is HolderMessage.Renew -> renew(state, message, nowMillis)
        is HolderMessage.Answered -> answered(state, message.response, nowMillis)
        is HolderMessage.Unanswered -> Decision(state.withoutPending(message.sequence))
    }

    private fun renew(state: HolderState, message: HolderMessage.Renew, nowMillis: Long): Decision<HolderState, HolderEffect> {
        val wanted = message.wanted.associateBy { it.group }
        val unwanted = state.held.leases.values.filter { it.term != wanted[it.group]?.term }
        val draining = unwanted.fold(state) { next, lease -> transitions.drain(next, lease.group, nowMillis) }
        return send(transitions.releaseDrained(draining, nowMillis), message, nowMillis)
    }

    private fun send(state: HolderState, message: HolderMessage.Renew, nowMillis: Long): Decision<HolderState, HolderEffect> {
        val changed = reportsToSend(state, message.reports)
        val owned = message.reports.map { it.target }
        val request =
            RenewRequest(
                holder = state.holder,
                sequence = state.nextSequence,
                controlTerm = state.controlTerm,
                claims = message.wanted.filter { it.group !in state.drainedAtMillis }.map { claimOf(state, it, nowMillis) },
                released = state.pendingReleases.map { (group, term) -> GroupTerm(group, term) },
                reports = changed,
            )
        val next =
            state.copy(
                nextSequence = request.sequence + 1,
                sentMillis = state.sentMillis.put(request.sequence, nowMillis),
                sentReports = state.sentReports.put(request.sequence, changed),
                acknowledgedReports = state.acknowledgedReports.keys.filter {
                    it !in owned
                }.fold(state.acknowledgedReports) { all, target -> all.remove(target) },
            )
        return Decision(next, persistentListOf<HolderEffect>(HolderEffect.Send(request)).addAll(renewAtRelease(next, nowMillis)))
    }

    // Sends only changed reports, and all of them in every 64th request, so that a lost report is sent again.
    private fun reportsToSend(state: HolderState, reports: List<TargetReport>): List<TargetReport> =
        if (state.nextSequence % FULL_REPORT_PERIOD == 0L) {
            reports
        } else {
            reports.filterNot { report -> state.acknowledgedReports[report.target]?.isSameAs(report) ?: false }
        }

    private fun claimOf(state: HolderState, wanted: GroupTerm, nowMillis: Long): LeaseClaim =
        LeaseClaim(wanted, held = state.held.termOf(wanted.group, nowMillis) == wanted.term)

    private fun answered(state: HolderState, response: RenewResponse, nowMillis: Long): Decision<HolderState, HolderEffect> {
        val sentMillis = state.sentMillis[response.sequence]
        if (sentMillis == null || response.controlTerm < state.controlTerm) return Decision(state.withoutPending(response.sequence))
        val acknowledged = transitions.recordAcknowledgement(state, response).withoutPending(response.sequence)
        val granted = response.granted.fold(acknowledged) { next, lease -> transitions.grant(next, lease, response.sequence, sentMillis) }
        val next = response.toRelease.fold(granted) { draining, lease -> transitions.requestRelease(draining, lease, nowMillis) }
        return Decision(next, renewAfterAnswer(state, next, nowMillis))
    }

    // Renews at once if the control leader has changed, since the new one has granted nothing yet, or if it waits for a release.
    private fun renewAfterAnswer(before: HolderState, after: HolderState, nowMillis: Long): PersistentList<HolderEffect> {
        val mustRenewNow = after.controlTerm > before.controlTerm || after.pendingReleases.keys.any { it !in before.pendingReleases }
        return if (mustRenewNow) persistentListOf(HolderEffect.RenewAfter(0)) else renewAtRelease(after, nowMillis)
    }

    private fun renewAtRelease(state: HolderState, nowMillis: Long): PersistentList<HolderEffect> =
        listOfNotNull(state.drainedAtMillis.values.minOrNull())
            .map { HolderEffect.RenewAfter((it - nowMillis).coerceAtLeast(0)) }
            .toPersistentList()

    private fun HolderState.withoutPending(sequence: Long): HolderState =
        copy(sentMillis = sentMillis.remove(sequence), sentReports = sentReports.remove(sequence))

    private companion object {
        /** Every request whose sequence number is a multiple of this holds all reports. */
        const val FULL_REPORT_PERIOD = 64L
    }
}
