package org.buckthornhub.quota

import org.buckthornhub.organisation.OrganisationId
import java.util.TreeMap
import kotlin.math.ln
import kotlin.random.Random

/** Replays a [FloodCase] with callers that retry, 89 daemons and two leaders, the second of which starts with an empty reserve. */
internal class FloodReplay(
    private val case: FloodCase,
    private val adapts: Boolean,
    seed: Int,
) {
    private val random = Random(seed)
    private val organisation = OrganisationId("o")
    private val limit = BucketRate(case.ratePerSecond, burst = case.burst)
    private val tolerance = LimitTolerance(burstFraction = 0.1, operations = LimitSplitSimulation.TOLERATED_OPERATIONS)
    private val own = BucketRate(0.0, LimitSplitSimulation.TOLERATED_OPERATIONS / DAEMONS)
    private val decider = RateLimiterDecider(if (adapts) AdaptiveReserveUse else FixedReserveUse)
    private val limiters = Array(DAEMONS) { RateLimiterState() }
    private val electedMillis = case.frozen.first + FloodCase.ELECTION_MILLIS
    private val learnedMillis = LongArray(DAEMONS) { electedMillis + random.nextLong(0, 1_000) }
    private val reserves = listOf(case.startedMillis to 1L, electedMillis to 2L)
        .map { (since, term) ->
            TokenReserve.ofTerm(term, if (adapts) since - FloodCase.IDLE_MILLIS else since, isFirstStart = true, adaptsToLoad = adapts)
        }.toMutableList()
    private val events = TreeMap<Long, MutableList<() -> Unit>>()
    private val tickets = mutableMapOf<Long, Attempt>()
    private var exact = BucketState(limit.burst, 0)
    private val admitted = mutableListOf<Long>()
    private val wrongful = mutableListOf<Long>()
    private val announced = mutableListOf<Pair<Long, Long>>()
    private var now = 0L
    private var nextTicket = 0L
    private var failed = 0
    private var issued = 0
    private var returned = 0
    private var spent = 0

    fun run(): FloodOutcome {
        while (now < END_MILLIS) {
            events.remove(now)?.forEach { it() }
            repeat(arrivals(case.ratePerSecond * case.load(now) / 1_000)) {
                attempt(Attempt(random.nextInt(DAEMONS), now + if (random.nextDouble() < LONG_SHARE) LONG_DEADLINE else DEADLINE, 0))
            }
            if (now % RateLimiterDecider.TICK_MILLIS == 0L) limiters.indices.forEach { send(it, RateLimiterMessage.Tick) }
            now += 1
        }
        val held = limiters.sumOf { it.limiters[organisation]?.reserveTokens ?: 0 }
        return FloodOutcome(admitted, wrongful, announced, failed, issued, returned, issued - returned - spent - held)
    }

    private fun attempt(attempt: Attempt) {
        tickets[++nextTicket] = attempt
        val fallback = LimitDivision.fallback(organisation, limit, tolerance, attempt.daemon, DAEMONS)
        send(attempt.daemon, RateLimiterMessage.Admit(nextTicket, organisation, own, fallback))
    }

    private fun send(daemon: Int, message: RateLimiterMessage) {
        val before = limiters[daemon].limiters[organisation]?.fallbackSpent ?: 0
        val decision = decider.decide(limiters[daemon], message, now)
        limiters[daemon] = decision.state
        val after = decision.state.limiters[organisation]?.fallbackSpent ?: 0
        spent -= if (after >= before) after - before else after
        decision.effects.forEach { effect ->
            when (effect) {
                is RateLimiterEffect.Admitted -> admit(daemon)
                is RateLimiterEffect.Refused -> refuse(tickets.getValue(effect.ticket), effect.retryAfterMillis)
                is RateLimiterEffect.RequestReserve -> request(daemon, effect.tokens)
                is RateLimiterEffect.ReturnTokens -> giveBack(daemon, effect.tokens)
            }
        }
    }

    private fun admit(daemon: Int) {
        spent += 1
        val filled = limit.refill(exact, now)
        if (random.nextDouble() < case.refundShare) {
            spent -= 1
            at(now + ROUND_TRIP_MILLIS) { send(daemon, RateLimiterMessage.Refunded(organisation)) }
        } else {
            exact = filled.copy(tokens = filled.tokens - 1)
            admitted.add(now)
        }
    }

    private fun refuse(attempt: Attempt, retryAfterMillis: Long) {
        if (limit.refill(exact, now).tokens >= 1) wrongful.add(now)
        announced.add(now to retryAfterMillis)
        val behaviour = random.nextDouble()
        val wait = if (behaviour < EARLY_SHARE) (retryAfterMillis * random.nextDouble(0.3, 0.9)).toLong() else retryAfterMillis
        val returnMillis = now + maxOf(wait, 1) + random.nextLong(0, 10)
        val daemon = if (behaviour > 1 - MOVED_SHARE) random.nextInt(DAEMONS) else attempt.daemon
        if (attempt.retries >= MAX_RETRIES || returnMillis > attempt.deadlineMillis) {
            failed += 1
        } else {
            at(returnMillis) { attempt(Attempt(daemon, attempt.deadlineMillis, attempt.retries + 1)) }
        }
    }

    // A frozen or unreachable leader lets the request time out. One that has woken knows that it may have been replaced.
    private fun request(daemon: Int, tokens: Int) {
        val leader = if (now < learnedMillis[daemon]) 0 else 1
        val isSilent = case.partitioned(daemon, now) || leader == 0 && now in case.frozen
        if (isSilent) return at(now + TIMEOUT_MILLIS) { send(daemon, received(tokens, null)) }
        at(now + ROUND_TRIP_MILLIS) {
            val isLeader = leader == 1 || now < electedMillis
            val given = if (isLeader) withdraw(leader, tokens) else null
            send(daemon, received(tokens, given ?: ReserveWithdrawal(reserves[leader], 0).takeUnless { adapts }))
        }
    }

    private fun withdraw(leader: Int, tokens: Int): ReserveWithdrawal {
        val withdrawal = reserves[leader].withdraw(organisation, tokens, limit, now, reserves[leader].startTokens(limit))
        reserves[leader] = withdrawal.reserve
        issued += withdrawal.tokens
        return withdrawal
    }

    private fun giveBack(daemon: Int, tokens: Int) {
        val leader = if (now < learnedMillis[daemon]) 0 else 1
        if (case.partitioned(daemon, now) || leader == 0 && now >= case.frozen.first) return
        returned += tokens
        at(now + ROUND_TRIP_MILLIS) { reserves[leader] = reserves[leader].deposit(organisation, tokens, limit, now) }
    }

    private fun received(wanted: Int, given: ReserveWithdrawal?) = RateLimiterMessage.ReserveReceived(
        organisation,
        wanted,
        given?.tokens,
        given?.retryAfterMillis ?: 0,
        given?.spacingMillis ?: 0,
        given?.isLow ?: false,
    )

    private fun at(millis: Long, event: () -> Unit) {
        events.getOrPut(millis) { mutableListOf() }.add(event)
    }

    private fun arrivals(mean: Double): Int = generateSequence { -ln(random.nextDouble()) / mean }
        .runningReduce { sum, gap -> sum + gap }
        .takeWhile { it < 1 }
        .count()

    private data class Attempt(
        val daemon: Int,
        val deadlineMillis: Long,
        val retries: Int,
    )

    private companion object {
        const val DAEMONS = 89
        const val END_MILLIS = 22_000L
        const val DEADLINE = 4_000L
        const val LONG_DEADLINE = 12_000L
        const val LONG_SHARE = 0.23
        const val EARLY_SHARE = 0.15
        const val MOVED_SHARE = 0.15
        const val MAX_RETRIES = 2
        const val ROUND_TRIP_MILLIS = 3L
        const val TIMEOUT_MILLIS = 40L
    }
}
