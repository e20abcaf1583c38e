package org.buckthornhub.queue

import org.buckthornhub.organisation.OrganisationId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Deficit round robin against the naive queue on the same traces. */
internal class QueuePolicyTest {
    @ParameterizedTest
    @MethodSource("seeds")
    fun `no call is lost or doubled by either queue`(seed: Int) {
        listOf(QueuePolicy.FAIR, QueuePolicy.FIFO).forEach { policy ->
            val result = trace(seed).run(policy)
            assertEquals(emptySet(), result.servedTickets intersect result.refusedTickets)
            assertEquals(result.arrivedTickets.size, result.servedTickets.size + result.refusedTickets.size + result.left)
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `one that sends five times its share hurts nobody under the fair queue`(seed: Int) {
        val fair = trace(seed).run(QueuePolicy.FAIR).worstShareOf(steady)
        val naive = trace(seed).run(QueuePolicy.FIFO).worstShareOf(steady)
        assertTrue(fair >= 0.95, "worst share $fair")
        assertTrue(fair >= naive, "fair $fair, naive $naive")
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `the naive queue is really worse, so that the trace tells them apart`(seed: Int) {
        assertTrue(trace(seed).run(QueuePolicy.FIFO).worstShareOf(steady) < 0.9)
    }

    @Test
    fun `an organisation with dear calls gets as much time as one with cheap calls`() {
        val dear = OrganisationId("dear")
        val cheap = OrganisationId("cheap")
        val calls = (1L..400L).map { if (it % 2 == 0L) QueuedCall(it, dear, 10.0) else QueuedCall(it, cheap, 1.0) }
        val full = calls.fold(QueuePolicy.FAIR.emptyQueue(400)) { queue, call -> queue.add(call).queue }
        val taken = generateSequence(full.take()) { it.queue.take() }.take(110).map { it.call }.toList()
        val dearMillis = taken.filter { it.organisation == dear }.sumOf { it.costMillis }
        val cheapMillis = taken.filter { it.organisation == cheap }.sumOf { it.costMillis }
        assertTrue(dearMillis in cheapMillis * 0.8..cheapMillis * 1.2, "dear $dearMillis ms, cheap $cheapMillis ms")
    }

    private companion object {
        private val steady = (1..7).map { OrganisationId("o$it") }.toSet()
        private val flood = OrganisationId("flood")

        // Together 1.25 of what one connection serves: 7 at 0.085, one at nearly 8 times that.
        private fun trace(seed: Int) = QueueTrace(seed, steady.associateWith { 0.085 } + (flood to 0.655))

        @JvmStatic
        fun seeds(): List<Int> = (1..10).toList()
    }
}
