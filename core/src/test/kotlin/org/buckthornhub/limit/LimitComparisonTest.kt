package org.buckthornhub.limit

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import java.io.File
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** The three ways on the same traces; writes its figures to `target/limit-comparison.txt`. */
internal class LimitComparisonTest {
    @ParameterizedTest
    @EnumSource(TraceKind::class)
    fun `asking when empty is exact and refuses no more than the other ways`(kind: TraceKind) {
        val results = LimitWay.entries.associateWith { way -> LimitTrace(kind, seed = 7, runSeconds = 20).run(plan(way)) }
        results.forEach { (way, result) -> report(kind, way, result) }
        val chosen = results.getValue(LimitWay.ASK_ON_EMPTY)
        assertEquals(0, results.values.sumOf { it.overAdmitted })
        assertTrue(results.values.all { chosen.wrongfulPercent <= it.wrongfulPercent }, "$kind: $results")
        assertTrue(chosen.wrongfulPercent < kind.mostWrongfulPercent, "$kind: ${chosen.wrongfulPercent} % refused wrongly")
    }

    private fun plan(way: LimitWay) = FleetPlan(
        seed = 1,
        way = way,
        limits = List(2) { limit(perSecond = 400, burst = 80) } + List(6) { limit(perSecond = 20, burst = 10) },
    )

    private fun limit(perSecond: Long, burst: Int) = RateLimit(perSecond * 1_000_000, TokenAmount.of(burst))

    private fun report(kind: TraceKind, way: LimitWay, result: TraceResult) {
        val line =
            "%-16s %-17s arrived %6d admitted %6d (exact refuses %6d) over %d wrongful %6.3f %% " +
                "(worst organisation %6.3f %%) %6.1f messages/s a daemon%n"
        File("target/limit-comparison.txt").appendText(
            line.format(
                kind,
                way,
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
