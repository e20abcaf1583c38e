package org.buckthornhub.limit

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import java.io.File
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Compares the three strategies on the same traces; writes the figures to `target/limit-comparison.txt`. */
internal class LimitComparisonTest {
    @ParameterizedTest
    @EnumSource(TraceKind::class)
    fun `requesting tokens when empty is exact and refuses no more than the other strategies`(kind: TraceKind) {
        val results = LimitStrategy.entries.associateWith { strategy -> LimitTrace(kind, seed = 7, runSeconds = 20).run(plan(strategy)) }
        results.forEach { (strategy, result) -> report(kind, strategy, result) }
        val chosen = results.getValue(LimitStrategy.ASK_ON_EMPTY)
        assertEquals(0, results.values.sumOf { it.overAdmitted })
        assertTrue(results.values.all { chosen.wrongfulPercent <= it.wrongfulPercent }, "$kind: $results")
        assertTrue(chosen.wrongfulPercent < kind.maxWrongfulPercent, "$kind: ${chosen.wrongfulPercent} % refused wrongly")
    }

    private fun plan(strategy: LimitStrategy) = FleetPlan(
        seed = 1,
        strategy = strategy,
        limits = List(2) { limit(perSecond = 400, burst = 80) } + List(6) { limit(perSecond = 20, burst = 10) },
    )

    private fun limit(perSecond: Long, burst: Int) = RateLimit(perSecond * 1_000_000, TokenAmount.of(burst))

    private fun report(kind: TraceKind, strategy: LimitStrategy, result: TraceResult) {
        val line =
            "%-16s %-17s arrived %6d admitted %6d (exact refuses %6d) over %d wrongful %6.3f %% " +
                "(worst organisation %6.3f %%) %6.1f messages/s a daemon%n"
        File("target/limit-comparison.txt").appendText(
            line.format(
                kind,
                strategy,
                result.arrived,
                result.admitted,
                result.refusedByExact,
                result.overAdmitted,
                result.wrongfulPercent,
                result.worstWrongfulPercent,
                result.messagesPerSecond,
            ),
        )
    }
}
