package org.buckthornhub.instancepool.load

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against ejections of instances that are like their peers, or that nothing could replace. */
internal class OutlierDetectorTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `an instance that fails more than its peers is ejected`(case: OutlierCase) {
        val state = case.statements.foldIndexed(OutlierState()) { second, state, statement ->
            OutlierDetector.sampled(state, statement == 'F', case.peerShare, case.isLast, second * 1_000L)
        }
        assertEquals(case.isEjected, state.ejections > 0)
    }

    @ParameterizedTest
    @CsvSource("0, 0.0", "1999, 0.0", "2000, 0.1", "4000, 0.5", "6000, 1.0", "60000, 1.0")
    fun `an instance is readmitted gradually`(afterMillis: Long, share: Double) {
        val ejected = failing(OutlierState(), 1_000)
        assertEquals(share, ejected.admittedShare(1_000 + afterMillis))
    }

    @Test
    fun `an instance that fails again is ejected for longer, and a served period shortens the pause`() {
        val first = failing(OutlierState(), 0)
        val second = OutlierDetector.sampled(first, isFailed = true, peerShare = 0.0, isLast = false, nowMillis = 2_500)
        assertEquals(listOf(2_000L, 4_000L), listOf(first.pauseMillis, second.pauseMillis))
        assertEquals(2_000, failing(second, 60_000).pauseMillis)
        val often = (1..10).fold(second) { state, step -> failing(state, step * 20_000L) }
        assertTrue(often.pauseMillis <= 16_000)
    }

    private fun failing(state: OutlierState, nowMillis: Long): OutlierState =
        (1..2).fold(state) { next, _ -> OutlierDetector.sampled(next, isFailed = true, peerShare = 0.0, isLast = false, nowMillis) }

    private companion object {
        @JvmStatic
        fun cases(): List<OutlierCase> = listOf(
            OutlierCase("no failure", ".".repeat(50), isEjected = false),
            OutlierCase("one failure", "....F....", isEjected = false),
            OutlierCase("two failures far apart", "F" + ".".repeat(30) + "F", isEjected = false),
            OutlierCase("one in seven fails", "......F......F......F", isEjected = true),
            OutlierCase("everything fails", "FF", isEjected = true),
            OutlierCase("everything fails at the peers too", "FFFFFFFF", isEjected = false, peerShare = 0.9),
            OutlierCase("no other instance could serve", "FFFFFFFF", isEjected = false, isLast = true),
        )
    }
}
