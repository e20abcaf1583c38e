package org.buckthornhub.limit

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.buckthornhub.clock.Clock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Limit tasks of several daemons, connected through their routes, in virtual time. */
internal class LimitAssemblyTest {
    @Test
    fun `a burst at one VM can use the burst of the whole fleet but no more`() = inFleet { fleet ->
        delay(FILL_MILLIS)
        assertEquals(20, fleet.burst(vm = 3, count = 20))
        assertEquals(0, fleet.burst(vm = 0, count = 5))
    }

    @Test
    fun `an organisation that moves between VMs is not refused within its rate`() = inFleet { fleet ->
        delay(FILL_MILLIS)
        val admitted =
            (0 until 100).sumOf { index ->
                delay(105)
                fleet.burst(vm = index % 4, count = 1)
            }
        assertEquals(100, admitted)
    }

    @Test
    fun `a leader without a majority grants nothing`() = inFleet(hasMajority = false) { fleet ->
        delay(FILL_MILLIS)
        assertEquals(0, fleet.burst(vm = 1, count = 3))
    }

    @Test
    fun `shares remain valid for at most one lease after the control leader is cut off`() = inFleet { fleet ->
        delay(FILL_MILLIS)
        fleet.isolateLeader()
        delay(5_000)
        assertTrue(fleet.burst(vm = 3, count = 20) in 1..20)
        delay(10_000)
        fleet.log.hasMajority = false
        delay(11_000)
        assertEquals(0, fleet.burst(vm = 3, count = 20))
    }

    @Test
    fun `a changed limit applies to existing buckets without issuing tokens twice`() = inFleet { fleet ->
        delay(FILL_MILLIS)
        fleet.changeGrant(fleet.grant.copy(burst = 4))
        delay(1_000)
        assertEquals(4, fleet.burst(vm = 2, count = 20))
    }

    @Test
    fun `a daemon that shuts down returns its tokens`() = inFleet { fleet ->
        delay(FILL_MILLIS)
        assertEquals(1, fleet.burst(vm = 3, count = 1))
        fleet.assemblies[3].handover.handOver()
        delay(1_000)
        assertEquals(20, fleet.burst(vm = 1, count = 20))
    }

    private fun inFleet(hasMajority: Boolean = true, body: suspend CoroutineScope.(LimitFleet) -> Unit) = runTest {
        val fleet = LimitFleet(clockOf(this))
        fleet.log.hasMajority = hasMajority
        fleet.start(backgroundScope)
        body(fleet)
    }

    private fun clockOf(scope: TestScope) = object : Clock {
        override fun nowMillis() = scope.currentTime + 1_000

        override fun wallMillis() = 0L
    }

    private companion object {
        // One lease under a new leader, plus the time to refill the burst.
        const val FILL_MILLIS = 16_000L
    }
}
