package org.buckthornhub.quota

import org.buckthornhub.fleet.VmId
import org.buckthornhub.organisation.OrganisationId
import kotlin.math.ln
import kotlin.random.Random

/** Simulates daemons and a leader in steps of 1 ms: reports every 400 ms, reserve requests with a round trip of 3 ms. */
internal class LimitSplitSimulation(
    private val case: LimitSplitCase,
    seed: Int,
    private val adapts: Boolean = false,
) {
    private val random = Random(seed)
    private val reserveFraction = if (case.isSplit) LimitDivision.reserveFraction(1) else LimitDivision.reserveFraction(case.daemons)
    private val tolerance = LimitTolerance(burstFraction = 0.1, operations = TOLERATED_OPERATIONS)
    private val organisation = OrganisationId("o")
    private val limit = BucketRate(case.ratePerSecond, burst = case.ratePerSecond)
    private val vms = (0 until case.daemons).map { VmId("vm$it") }
    private val decider = RateLimiterDecider(if (adapts) AdaptiveReserveUse else FixedReserveUse)
    private val limiters = Array(case.daemons) { RateLimiterState() }
    private val shares = DoubleArray(case.daemons) { 1.0 / case.daemons }
    private val pendingRequests = mutableListOf<Triple<Int, RateLimiterEffect.RequestReserve, Long>>()
    private var table = DemandTable()
    private var reserve = TokenReserve(startedMillis = -10_000, returns = if (adapts) UsableReturns else SequentialReturns)
    private var nextTicket = 0L
    private val admittedMillis = mutableListOf<Long>()
    private var refused = 0
    private var singleBucket = limit.refill(null, 0)
    private var refusedBySingleBucket = 0

    fun run(): LimitSplitOutcome {
        for (now in 0L until SECONDS * 1_000L) {
            replyToReserveRequests(now)
            val second = (now / 1_000).toInt()
            val weights = (0 until case.daemons).map { case.skew(it, second) }
            repeat(arrivals(case.ratePerSecond * case.load(second) / 1_000)) {
                val daemon = pick(weights)
                countInSingleBucket(now)
                send(daemon, RateLimiterMessage.Admit(nextTicket++, organisation, ownRate(daemon), fallback(daemon)), now)
            }
            if (now % RateLimiterDecider.TICK_MILLIS == 0L) vms.indices.forEach { send(it, RateLimiterMessage.Tick, now) }
            vms.indices.filter { now % REPORT_MILLIS == it * 50L % REPORT_MILLIS }.forEach { report(it, now, second) }
        }
        return LimitSplitOutcome(admittedMillis, refused, refusedBySingleBucket)
    }

    private fun countInSingleBucket(now: Long) {
        val filled = limit.refill(singleBucket, now)
        if (filled.tokens < 1) refusedBySingleBucket += 1
        singleBucket = if (filled.tokens < 1) filled else filled.copy(tokens = filled.tokens - 1)
    }

    private fun ownRate(daemon: Int): BucketRate {
        val own = limit.scaledBy((1 - reserveFraction) * shares[daemon])
        return own.copy(burst = own.burst + TOLERATED_OPERATIONS / case.daemons)
    }

    private fun fallback(daemon: Int) =
        if (case.isSplit) FallbackTokens() else LimitDivision.fallback(organisation, limit, tolerance, daemon, case.daemons)

    private fun send(daemon: Int, message: RateLimiterMessage, now: Long) {
        val decision = decider.decide(limiters[daemon], message, now)
        limiters[daemon] = decision.state
        for (effect in decision.effects) {
            when (effect) {
                is RateLimiterEffect.Admitted -> admittedMillis.add(now)
                is RateLimiterEffect.Refused -> refused += 1
                is RateLimiterEffect.ReturnTokens ->
                    reserve =
                        reserve.deposit(organisation, effect.tokens, limit.scaledBy(reserveFraction), now)
                is RateLimiterEffect.RequestReserve -> pendingRequests.add(Triple(daemon, effect, now + RESERVE_ROUND_TRIP_MILLIS))
            }
        }
    }

    private fun replyToReserveRequests(now: Long) {
        val due = pendingRequests.filter { it.third <= now }
        pendingRequests.removeAll(due)
        for ((daemon, request, _) in due) {
            val isPartitioned = case.partitioned(daemon, (now / 1_000).toInt())
            val given = if (isPartitioned) null else reserve.withdraw(organisation, request.tokens, limit.scaledBy(reserveFraction), now)
            reserve = given?.reserve ?: reserve
            val received = RateLimiterMessage.ReserveReceived(
                organisation,
                request.tokens,
                given?.tokens,
                given?.retryAfterMillis ?: 0,
                given?.spacingMillis ?: 0,
                given?.isLow ?: false,
            )
            send(daemon, received, now)
        }
    }

    private fun report(daemon: Int, now: Long, second: Int) {
        if (case.partitioned(daemon, second)) return
        table = table.with(vms[daemon], limiters[daemon].demand, now).pruned(now)
        shares[daemon] = table.sharesOf(vms[daemon], setOf(organisation))[organisation] ?: (1.0 / case.daemons)
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
        const val SECONDS = 20
        const val TOLERATED_OPERATIONS = 20.0
        private const val REPORT_MILLIS = 400L
        private const val RESERVE_ROUND_TRIP_MILLIS = 3L
    }
}
