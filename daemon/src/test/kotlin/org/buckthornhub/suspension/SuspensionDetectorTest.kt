package org.buckthornhub.suspension

import org.buckthornhub.clock.Clock
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.assertEquals
import kotlin.test.assertFalse

internal class SuspensionDetectorTest {
    @ParameterizedTest(name = "monotonic clock +{0} ms, wall clock +{1} ms")
    @CsvSource("1000, 1000, false", "1000, 1150, false", "20, 6020, true", "1000, -4000, false", "5000, 5400, true")
    fun `a wall clock that jumps ahead is reported as a suspension, once`(monotonic: Long, calendar: Long, wasSuspended: Boolean) {
        var passed = 0L to 0L
        val detector = SuspensionDetector(
            object : Clock {
                override fun nowMillis(): Long = 10_000 + passed.first

                override fun wallMillis(): Long = 1_700_000_000_000 + passed.second
            },
        )
        passed = monotonic to calendar
        assertEquals(wasSuspended, detector.wasSuspended())
        assertEquals(wasSuspended, detector.checkAndReset())
        assertFalse(detector.checkAndReset())
    }
}
