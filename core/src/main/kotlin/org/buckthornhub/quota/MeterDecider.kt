package org.buckthornhub.quota

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.buckthornhub.decision.Decider
import org.buckthornhub.decision.Decision
import org.buckthornhub.organisation.OrganisationId

/** Holds each organisation to this daemon's part of its limit, and draws on the leader's reserve when that is used up. */
public class MeterDecider : Decider<MeterBook, MeterMessage, MeterEffect> {
    override fun decide(state: MeterBook, message: MeterMessage, nowMillis: Long): Decision<MeterBook, MeterEffect> = when (message) {
        is MeterMessage.Admit -> admit(state, message, nowMillis)
        is MeterMessage.Drawn -> drawn(state, message, nowMillis)
        is MeterMessage.Returned -> Decision(returned(state, message.organisation, nowMillis))
        is MeterMessage.Tick -> Decision(measured(state))
    }

    private fun admit(state: MeterBook, message: MeterMessage.Admit, nowMillis: Long): Decision<MeterBook, MeterEffect> {
        val known = state.meters[message.organisation] ?: OrganisationMeter(message.rate.refill(null, nowMillis), message.rate)
        val meter = known.copy(own = message.rate.refill(known.own, nowMillis), rate = message.rate, asked = known.asked + 1)
        val spent = if (meter.waiting.isEmpty()) meter.spent(nowMillis) else null
        return when {
            spent != null -> Decision(state.with(message.organisation, spent), persistentListOf(MeterEffect.Admitted(message.ticket)))
            nowMillis < meter.noDrawBeforeMillis || meter.waiting.size >= MOST_WAITING ->
                Decision(state.with(message.organisation, meter), persistentListOf(refusal(message.ticket, meter)))
            else -> draw(state, message.organisation, meter.copy(waiting = meter.waiting.add(message.ticket)))
        }
    }

    private fun draw(state: MeterBook, organisation: OrganisationId, meter: OrganisationMeter): Decision<MeterBook, MeterEffect> {
        if (meter.isDrawing) return Decision(state.with(organisation, meter))
        val tokens = meter.waiting.size + minOf((meter.perSecond * AHEAD_SECONDS).toInt(), MOST_AHEAD)
        return Decision(state.with(organisation, meter.copy(isDrawing = true)), persistentListOf(MeterEffect.Draw(organisation, tokens)))
    }

    private fun drawn(state: MeterBook, message: MeterMessage.Drawn, nowMillis: Long): Decision<MeterBook, MeterEffect> {
        val meter = state.meters[message.organisation] ?: return Decision(state)
        val left = if (nowMillis < meter.drawnUntilMillis) meter.drawn else 0
        val filled = meter.copy(
            own = meter.rate.refill(meter.own, nowMillis),
            drawn = left + message.tokens,
            drawnUntilMillis = nowMillis + DRAWN_MILLIS,
            isDrawing = false,
        )
        val (served, admitted) = serve(filled, nowMillis)
        if (message.tokens >= message.wanted && served.waiting.isNotEmpty()) {
            val next = draw(state, message.organisation, served)
            return next.copy(effects = admitted.toPersistentList().addAll(next.effects))
        }
        val refused = served.waiting.map { refusal(it, served) }
        val pauseMillis = if (message.tokens < message.wanted) nowMillis + EMPTY_MILLIS else served.noDrawBeforeMillis
        val next = served.copy(waiting = persistentListOf(), noDrawBeforeMillis = pauseMillis)
        return Decision(state.with(message.organisation, next), (admitted + refused).toPersistentList())
    }

    private tailrec fun serve(
        meter: OrganisationMeter,
        nowMillis: Long,
        admitted: List<MeterEffect> = emptyList(),
    ): Pair<OrganisationMeter, List<MeterEffect>> {
        val first = meter.waiting.firstOrNull() ?: return meter to admitted
        val spent = meter.spent(nowMillis) ?: return meter to admitted
        return serve(spent.copy(waiting = meter.waiting.removeAt(0)), nowMillis, admitted + MeterEffect.Admitted(first))
    }

    private fun returned(state: MeterBook, organisation: OrganisationId, nowMillis: Long): MeterBook {
        val meter = state.meters[organisation] ?: return state
        val own = meter.own.copy(tokens = meter.own.tokens + 1)
        return state.with(organisation, meter.copy(own = meter.rate.refill(own, nowMillis)))
    }

    private fun measured(state: MeterBook): MeterBook = state.meters.entries.fold(state) { book, (organisation, meter) ->
        val latest = meter.asked * TICKS_PER_SECOND
        val weight = if (latest > meter.perSecond) RISE else FALL
        val smoothed = meter.perSecond * (1 - weight) + latest * weight
        book.with(organisation, meter.copy(asked = 0, perSecond = if (smoothed < NEGLIGIBLE) 0.0 else smoothed))
    }

    private fun refusal(ticket: Long, meter: OrganisationMeter): MeterEffect =
        MeterEffect.Refused(ticket, meter.rate.retryAfterMillis(meter.own))

    private fun MeterBook.with(organisation: OrganisationId, meter: OrganisationMeter) = copy(meters = meters.put(organisation, meter))

    public companion object {
        /** Time between two [MeterMessage.Tick]; in ms. */
        public const val TICK_MILLIS: Long = 250
        private const val TICKS_PER_SECOND = 4.0

        /** Weight of a tick with more operations than before: half a second until demand has mostly followed. */
        private const val RISE = 0.5

        /** Weight of one with less: callers come unevenly, so a gap of some seconds takes little away. */
        private const val FALL = 0.05

        /** Operations a second. */
        private const val NEGLIGIBLE = 0.01

        /** Tokens are drawn for as long ahead, so that not each operation costs a round trip; in s. */
        private const val AHEAD_SECONDS = 0.1

        /** Drawn tokens that are kept longer would add to what the fleet may let through at once; in ms. */
        private const val DRAWN_MILLIS = 500L

        /** What one daemon has drawn and does not use is lost to the others. */
        private const val MOST_AHEAD = 8

        /** More operations that wait for one draw are refused at once. */
        private const val MOST_WAITING = 64

        /** Pause after the reserve gave less than was asked for; in ms. */
        private const val EMPTY_MILLIS = 100L
    }
}
