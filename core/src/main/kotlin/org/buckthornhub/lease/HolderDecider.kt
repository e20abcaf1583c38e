package org.buckthornhub.lease

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.buckthornhub.decision.Decider
import org.buckthornhub.decision.Decision

/**
 * Holds leases: asks for those it should have, counts each from before its request was sent, and hands back those it
 * should not have, after the writes in flight.
 */
public class HolderDecider(settings: LeaseSettings) : Decider<HolderState, HolderMessage, HolderEffect> {
    private val transitions = HolderTransitions(settings)

    override fun decide(state: HolderState, message: HolderMessage, nowMillis: Long): Decision<HolderState, HolderEffect> = when (message) {
        is HolderMessage.Renew -> renew(state, message, nowMillis)
        is HolderMessage.Answered -> answered(state, message.response, nowMillis)
        is HolderMessage.Unanswered -> Decision(state.settled(message.sequence))
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
                released = state.released.map { (group, term) -> GroupTerm(group, term) },
                reports = changed,
            )
        val next =
            state.copy(
                nextSequence = request.sequence + 1,
                sentMillis = state.sentMillis.put(request.sequence, nowMillis),
                sentReports = state.sentReports.put(request.sequence, changed),
                reported = state.reported.keys.filter { it !in owned }.fold(state.reported) { all, target -> all.remove(target) },
            )
        return Decision(next, persistentListOf<HolderEffect>(HolderEffect.Send(request)).addAll(wakeToRelease(next, nowMillis)))
    }

    // Only what has changed, and everything once in a while, so that no loss lasts.
    private fun reportsToSend(state: HolderState, reports: List<TargetReport>): List<TargetReport> =
        if (state.nextSequence % FULL_REPORT_PERIOD == 0L) {
            reports
        } else {
            reports.filterNot { report -> state.reported[report.target]?.isSameAs(report) ?: false }
        }

    private fun claimOf(state: HolderState, wanted: GroupTerm, nowMillis: Long): LeaseClaim =
        LeaseClaim(wanted, held = state.held.termOf(wanted.group, nowMillis) == wanted.term)

    private fun answered(state: HolderState, response: RenewResponse, nowMillis: Long): Decision<HolderState, HolderEffect> {
        val sentMillis = state.sentMillis[response.sequence]
        if (sentMillis == null || response.controlTerm < state.controlTerm) return Decision(state.settled(response.sequence))
        val heard = transitions.acknowledge(state, response).settled(response.sequence)
        val granted = response.granted.fold(heard) { next, lease -> transitions.grant(next, lease, response.sequence, sentMillis) }
        val next = response.wantedBack.fold(granted) { draining, lease -> transitions.handBack(draining, lease, nowMillis) }
        return Decision(next, wakeAfterAnswer(state, next, nowMillis))
    }

    // A request that was meant for an earlier control leader got nothing, and news of a release is waited for.
    private fun wakeAfterAnswer(before: HolderState, after: HolderState, nowMillis: Long): PersistentList<HolderEffect> {
        val hasNews = after.controlTerm > before.controlTerm || after.released.keys.any { it !in before.released }
        return if (hasNews) persistentListOf(HolderEffect.RenewAfter(0)) else wakeToRelease(after, nowMillis)
    }

    private fun wakeToRelease(state: HolderState, nowMillis: Long): PersistentList<HolderEffect> =
        listOfNotNull(state.drainedAtMillis.values.minOrNull())
            .map { HolderEffect.RenewAfter((it - nowMillis).coerceAtLeast(0)) }
            .toPersistentList()

    private fun HolderState.settled(sequence: Long): HolderState =
        copy(sentMillis = sentMillis.remove(sequence), sentReports = sentReports.remove(sequence))

    private companion object {
        const val FULL_REPORT_PERIOD = 64L
    }
}
