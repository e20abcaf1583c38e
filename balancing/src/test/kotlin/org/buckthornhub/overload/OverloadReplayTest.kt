package org.buckthornhub.overload

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

// Guards against a flood of incomplete messages that uses up the budget for ordinary callers.
internal class OverloadReplayTest {
    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5])
    fun `a flood refuses no caller, which the naive choice does`(seed: Int) {
        val chosen = OverloadReplay(LargestFirstChoice, Random(seed)).apply { run() }
        val naive = OverloadReplay(RefuseLatestChoice, Random(seed)).apply { run() }
        assertEquals(0, chosen.refusedCallers)
        assertTrue(naive.refusedCallers > 0)
    }
}
