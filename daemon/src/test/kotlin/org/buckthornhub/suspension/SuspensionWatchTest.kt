package org.buckthornhub.suspension

import org.buckthornhub.clock.Clock
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.assertEquals
import kotlin.test.assertFalse

internal class SuspensionWatchTest {
    @ParameterizedTest(name = "monotonic {0} ms on, calendar {1} ms on")
    @CsvSource("1000, 1000, false", "1000, 1150, false", "20, 6020, true", "1000, -4000, false", "5000, 5400, true")
    fun `a calendar that ran ahead tells of a suspension, once`(monotonic: Long, calendar: Long, isDue: Boolean) {
        var passed = 0L to 0L
        val watch = SuspensionWatch(
            object : Clock {
                override fun nowMillis(): Long = 10_000 + passed.first

                override fun wallMillis(): Long = 1_700_000_000_000 + passed.second
            },
        )
        passed = monotonic to calendar
        assertEquals(isDue, watch.isDue())
        assertEquals(isDue, watch.look())
        assertFalse(watch.look())
    }
}
