package org.buckthornhub.quota

import org.buckthornhub.fleet.VmId
import org.buckthornhub.organisation.OrganisationId
import kotlin.math.ln
import kotlin.random.Random

/** Plays daemons and a leader in steps of one ms: reports every 400 ms, draws that take 3 ms. */
internal class LimitSplitSimulation(
    private val case: LimitSplitCase,
    seed: Int,
) {
    private val random = Random(seed)
    private val organisation = OrganisationId("o")
    private val limit = MeterRate(case.ratePerSecond, burst = case.ratePerSecond)
    private val vms = (0 until DAEMONS).map { VmId("vm$it") }
    private val decider = MeterDecider()
    private val books = Array(DAEMONS) { MeterBook() }
    private val shares = DoubleArray(DAEMONS) { 1.0 / DAEMONS }
    private val draws = mutableListOf<Triple<Int, MeterEffect.Draw, Long>>()
    private var board = DemandBoard()
    private var reserve = TokenReserve(openedMillis = -10_000)
    private var nextTicket = 0L
    private val admittedMillis = mutableListOf<Long>()
    private var refused = 0
    private var oneBucket = limit.refill(null, 0)
    private var refusedByOneBucket = 0

    fun run(): LimitSplitOutcome {
        for (now in 0L until SECONDS * 1_000L) {
            answerDraws(now)
            val second = (now / 1_000).toInt()
            val weights = (0 until DAEMONS).map { case.skew(it, second) }
            repeat(arrivals(case.ratePerSecond * case.load(second) / 1_000)) {
                val daemon = pick(weights)
                countInOneBucket(now)
                tell(daemon, MeterMessage.Admit(nextTicket++, organisation, ownRate(daemon)), now)
            }
            if (now % MeterDecider.TICK_MILLIS == 0L) vms.indices.forEach { tell(it, MeterMessage.Tick, now) }
            vms.indices.filter { now % REPORT_MILLIS == it * 50L }.forEach { report(it, now, second) }
        }
        return LimitSplitOutcome(admittedMillis, refused, refusedByOneBucket)
    }

    private fun countInOneBucket(now: Long) {
        val filled = limit.refill(oneBucket, now)
        if (filled.tokens < 1) refusedByOneBucket += 1
        oneBucket = if (filled.tokens < 1) filled else filled.copy(tokens = filled.tokens - 1)
    }

    private fun ownRate(daemon: Int): MeterRate {
        val own = limit.part((1 - TokenReserve.PART) * shares[daemon])
        return own.copy(burst = own.burst + TOLERATED / DAEMONS)
    }

    private fun tell(daemon: Int, message: MeterMessage, now: Long) {
        val decision = decider.decide(books[daemon], message, now)
        books[daemon] = decision.state
        for (effect in decision.effects) {
            when (effect) {
                is MeterEffect.Admitted -> admittedMillis.add(now)
                is MeterEffect.Refused -> refused += 1
                is MeterEffect.Draw -> draws.add(Triple(daemon, effect, now + DRAW_MILLIS))
            }
        }
    }

    private fun answerDraws(now: Long) {
        val due = draws.filter { it.third <= now }
        draws.removeAll(due)
        for ((daemon, draw, _) in due) {
            val isCutOff = case.cutOff(daemon, (now / 1_000).toInt())
            val given = if (isCutOff) null else reserve.draw(organisation, draw.tokens, limit, now)
            reserve = given?.reserve ?: reserve
            tell(daemon, MeterMessage.Drawn(organisation, draw.tokens, given?.tokens ?: 0), now)
        }
    }

    private fun report(daemon: Int, now: Long, second: Int) {
        if (case.cutOff(daemon, second)) return
        board = board.with(vms[daemon], books[daemon].demand, now).pruned(now)
        shares[daemon] = board.sharesOf(vms[daemon], setOf(organisation)).getValue(organisation)
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
        const val TOLERATED = 20.0
        private const val REPORT_MILLIS = 400L
        private const val DRAW_MILLIS = 3L
    }
}
