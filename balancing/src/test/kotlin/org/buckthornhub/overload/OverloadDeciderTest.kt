package org.buckthornhub.overload

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

// Guards against limits that a connection can evade, and against memory that is counted after it was freed.
internal class OverloadDeciderTest {
    private val decider = OverloadDecider()
    private val empty = OverloadState(OverloadLimits(budgetBytes = 100, maxConnections = 3, incompleteMillis = 50))
    private val two = decider.open(decider.open(empty).state).state

    @Test
    fun `what reaches the budget alone is refused and closed`() {
        val step = decider.hold(two, first, Holding(freeableBytes = 101))
        assertFalse(step.isAccepted)
        assertEquals(setOf(second), step.state.connections.keys)
        assertEquals(0, step.state.heldBytes)
    }

    @Test
    fun `a request that runs is counted after its connection was closed, until it ends`() {
        val running = decider.hold(two, first, Holding(freeableBytes = 60, boundBytes = 40)).state
        val step = decider.hold(running, second, Holding(freeableBytes = 50))
        assertEquals(listOf(first), step.closed)
        assertEquals(90, step.state.heldBytes)
        assertEquals(50, decider.end(step.state, first).heldBytes)
    }

    @Test
    fun `nothing is closed for a message that doesn't fit after that either`() {
        val running = decider.hold(two, first, Holding(freeableBytes = 10, boundBytes = 60)).state
        val step = decider.hold(running, second, Holding(boundBytes = 60))
        assertFalse(step.isAccepted)
        assertEquals(emptyList(), step.closed)
        assertEquals(70, step.state.heldBytes)
    }

    @Test
    fun `a connection that was closed can't hold anything`() {
        assertFalse(decider.hold(decider.end(two, first), first, Holding(freeableBytes = 1)).isAccepted)
    }

    @Test
    fun `what holds less than before is accepted`() {
        val full = decider.hold(two, first, Holding(freeableBytes = 100)).state
        assertTrue(decider.hold(full, first, Holding(freeableBytes = 99)).isAccepted)
    }

    @Test
    fun `a message is to be complete in time`() {
        val waiting = decider.incomplete(decider.incomplete(two, first, sinceMillis = 10), second, sinceMillis = 20)
        assertEquals(emptyList(), decider.expire(waiting, nowMillis = 59).closed)
        assertEquals(listOf(first), decider.expire(waiting, nowMillis = 60).closed)
        assertEquals(emptyList(), decider.expire(decider.incomplete(waiting, first, null), nowMillis = 60).closed)
    }

    @Test
    fun `limits follow the process`() {
        assertEquals(OverloadLimits(12_000_000, 1_229), OverloadLimits.of(48_000_000, 330.0, 2_167))
        assertEquals(OverloadLimits(6_000_000, 16), OverloadLimits.of(10_000_000, 100.0, 100))
        assertEquals(OverloadLimits(16_000_000, 1_000), OverloadLimits.of(64_000_000, 0.0, 0))
    }

    private companion object {
        val first = GuardedId(0)
        val second = GuardedId(1)
    }
}
