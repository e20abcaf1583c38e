package org.buckthornhub.quota

import org.buckthornhub.fleet.VmId
import org.buckthornhub.organisation.OrganisationId
import kotlin.math.ln
import kotlin.random.Random

/** Simulates daemons and a leader in steps of 1 ms: reports every 400 ms, reserve requests with a round trip of 3 ms. */
internal class LimitSplitSimulation(
    private val case: LimitSplitCase,
    seed: Int,
) {
    private val random = Random(seed)
    private val organisation = OrganisationId("o")
    private val limit = BucketRate(case.ratePerSecond, burst = case.ratePerSecond)
    private val vms = (0 until DAEMONS).map { VmId("vm$it") }
    private val decider = RateLimiterDecider()
    private val limiters = Array(DAEMONS) { RateLimiterState() }
    private val shares = DoubleArray(DAEMONS) { 1.0 / DAEMONS }
    private val pendingRequests = mutableListOf<Triple<Int, RateLimiterEffect.RequestReserve, Long>>()
    private var table = DemandTable()
    private var reserve = TokenReserve(startedMillis = -10_000)
    private var nextTicket = 0L
    private val admittedMillis = mutableListOf<Long>()
    private var refused = 0
    private var singleBucket = limit.refill(null, 0)
    private var refusedBySingleBucket = 0

    fun run(): LimitSplitOutcome {
        for (now in 0L until SECONDS * 1_000L) {
            replyToReserveRequests(now)
            val second = (now / 1_000).toInt()
            val weights = (0 until DAEMONS).map { case.skew(it, second) }
            repeat(arrivals(case.ratePerSecond * case.load(second) / 1_000)) {
                val daemon = pick(weights)
                countInSingleBucket(now)
                send(daemon, RateLimiterMessage.Admit(nextTicket++, organisation, ownRate(daemon)), now)
            }
            if (now % RateLimiterDecider.TICK_MILLIS == 0L) vms.indices.forEach { send(it, RateLimiterMessage.Tick, now) }
            vms.indices.filter { now % REPORT_MILLIS == it * 50L }.forEach { report(it, now, second) }
        }
        return LimitSplitOutcome(admittedMillis, refused, refusedBySingleBucket)
    }

    private fun countInSingleBucket(now: Long) {
        val filled = limit.refill(singleBucket, now)
        if (filled.tokens < 1) refusedBySingleBucket += 1
        singleBucket = if (filled.tokens < 1) filled else filled.copy(tokens = filled.tokens - 1)
    }

    private fun ownRate(daemon: Int): BucketRate {
        val own = limit.scaledBy((1 - TokenReserve.FRACTION) * shares[daemon])
        return own.copy(burst = own.burst + TOLERATED_OPERATIONS / DAEMONS)
    }

    private fun send(daemon: Int, message: RateLimiterMessage, now: Long) {
        val decision = decider.decide(limiters[daemon], message, now)
        limiters[daemon] = decision.state
        for (effect in decision.effects) {
            when (effect) {
                is RateLimiterEffect.Admitted -> admittedMillis.add(now)
                is RateLimiterEffect.Refused -> refused += 1
                is RateLimiterEffect.RequestReserve -> pendingRequests.add(Triple(daemon, effect, now + RESERVE_ROUND_TRIP_MILLIS))
            }
        }
    }

    private fun replyToReserveRequests(now: Long) {
        val due = pendingRequests.filter { it.third <= now }
        pendingRequests.removeAll(due)
        for ((daemon, request, _) in due) {
            val isPartitioned = case.partitioned(daemon, (now / 1_000).toInt())
            val given = if (isPartitioned) null else reserve.withdraw(organisation, request.tokens, limit, now)
            reserve = given?.reserve ?: reserve
            send(daemon, RateLimiterMessage.ReserveReceived(organisation, request.tokens, given?.tokens ?: 0), now)
        }
    }

    private fun report(daemon: Int, now: Long, second: Int) {
        if (case.partitioned(daemon, second)) return
        table = table.with(vms[daemon], limiters[daemon].demand, now).pruned(now)
        shares[daemon] = table.sharesOf(vms[daemon], setOf(organisation)).getValue(organisation)
    }

    private fun arrivals(mean: Double): Int = generateSequence { -ln(random.nextDouble()) / mean }
        .runningReduce { sum, gap -> sum + gap }
        .takeWhile { it < 1 }
        .count()

    private fun pick(weights: List<Double>): Int {
        var left = random.nextDouble() * weights.sum()
        return weights.indexOfFirst { weight -> (left - weight).also { left = it } < 0 }.coerceAtLeast(0)
    }

    companion object {
        const val DAEMONS = 8
        const val SECONDS = 20
        const val TOLERATED_OPERATIONS = 20.0
        private const val REPORT_MILLIS = 400L
        private const val RESERVE_ROUND_TRIP_MILLIS = 3L
    }
}
