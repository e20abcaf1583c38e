package org.buckthornhub.queue

import org.buckthornhub.organisation.OrganisationId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Compares deficit round robin with the FIFO baseline on the same traces. */
internal class QueuePolicyTest {
    @ParameterizedTest
    @MethodSource("seeds")
    fun `neither queue loses or duplicates a call`(seed: Int) {
        listOf(QueuePolicy.FAIR, QueuePolicy.FIFO).forEach { policy ->
            val result = trace(seed).run(policy)
            assertEquals(emptySet(), result.servedTickets intersect result.refusedTickets)
            assertEquals(result.arrivedTickets.size, result.servedTickets.size + result.refusedTickets.size + result.left)
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `an organisation with five times its share does not slow the others under the fair queue`(seed: Int) {
        val fair = trace(seed).run(QueuePolicy.FAIR).minServedShareOf(steady)
        val baseline = trace(seed).run(QueuePolicy.FIFO).minServedShareOf(steady)
        assertTrue(fair >= 0.95, "worst share $fair")
        assertTrue(fair >= baseline, "fair $fair, baseline $baseline")
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `the FIFO baseline is worse, so the trace distinguishes the policies`(seed: Int) {
        assertTrue(trace(seed).run(QueuePolicy.FIFO).minServedShareOf(steady) < 0.9)
    }

    @Test
    fun `an organisation with expensive calls gets as much time as one with cheap calls`() {
        val expensive = OrganisationId("expensive")
        val cheap = OrganisationId("cheap")
        val calls = (1L..400L).map { if (it % 2 == 0L) QueuedCall(it, expensive, 10.0) else QueuedCall(it, cheap, 1.0) }
        val full = calls.fold(QueuePolicy.FAIR.emptyQueue(400)) { queue, call -> queue.add(call).queue }
        val taken = generateSequence(full.take()) { it.queue.take() }.take(110).map { it.call }.toList()
        val expensiveMillis = taken.filter { it.organisation == expensive }.sumOf { it.costMillis }
        val cheapMillis = taken.filter { it.organisation == cheap }.sumOf { it.costMillis }
        assertTrue(expensiveMillis in cheapMillis * 0.8..cheapMillis * 1.2, "expensive $expensiveMillis ms, cheap $cheapMillis ms")
    }

    private companion object {
        private val steady = (1..7).map { OrganisationId("o$it") }.toSet()
        private val overloading = OrganisationId("flood")

        // Total load 1.25 of the capacity of one connection: 7 organisations at 0.085, one at nearly 8 times that.
        private fun trace(seed: Int) = QueueTrace(seed, steady.associateWith { 0.085 } + (overloading to 0.655))

        @JvmStatic
        fun seeds(): List<Int> = (1..10).toList()
    }
}
