package org.buckthornhub.instancepool

import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.group.GroupId
import org.buckthornhub.instancepool.load.FleetLoad
import org.buckthornhub.instancepool.load.LeavingShare
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.assertEquals

/** Guards against a log that is filled by a share that swings, and against a change that is never logged. */
internal class LoadLogStateTest {
    @ParameterizedTest(name = "logged {0}, now {1} after {2} ms: a line {3}")
    @CsvSource(
        "0.0, 0.05, 5000, false",
        "0.0, 0.1, 5000, true",
        "0.0, 0.9, 1999, false",
        "0.0, 0.9, 2000, true",
        "0.5, 0.45, 5000, false",
        "0.05, 0.0, 5000, true",
        "0.0, 0.0, 5000, false",
    )
    fun `a changed share is logged at most once in an interval`(logged: Double, share: Double, afterMillis: Long, isLine: Boolean) {
        val state = LoadLogState().logged(mapOf(group to LeavingShare(logged)), PoolState(), nowMillis = 1_000)
        val pool = PoolState(load = FleetLoad(shares = persistentMapOf(group to LeavingShare(share))))
        assertEquals(isLine, group in state.changedShares(pool, 1_000 + afterMillis))
    }

    private companion object {
        private val group = GroupId("g")
    }
}
