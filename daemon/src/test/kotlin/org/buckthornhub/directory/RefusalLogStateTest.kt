package org.buckthornhub.directory

import kotlin.test.Test
import kotlin.test.assertEquals

internal class RefusalLogStateTest {
    @Test
    fun `a flood of refused announcements takes one line per interval, which counts the others`() {
        var state = RefusalLogState()
        var lines: List<Long> = emptyList()
        for (nowMillis in 0L..2_500L) {
            if (state.isLineDue(nowMillis, intervalMillis = 1_000)) lines = lines + state.omitted
            state = state.next(nowMillis, intervalMillis = 1_000)
        }
        assertEquals(listOf(0L, 999L, 999L), lines)
    }
}
