package org.buckthornhub.target.owner

import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ErrorTable
import org.buckthornhub.error.Execution
import org.buckthornhub.target.owner.Calls.begin
import org.buckthornhub.target.owner.Calls.commit
import org.buckthornhub.target.owner.Calls.inTransaction
import org.buckthornhub.target.owner.Calls.read
import org.buckthornhub.target.owner.Calls.write
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Random schedules of writes, resends, reads and transactions, in which requests and answers are lost. */
internal class RandomScheduleTest {
    @ParameterizedTest
    @MethodSource("seeds")
    fun `every call is answered once and its answer matches the log`(seed: Int) {
        val simulation = run(seed)
        assertEquals((1L..lastTicket(simulation)).toSet(), simulation.replies.keys)
        writeTickets.forEach { ticket ->
            val isInLog = simulation.model.log.contains("w$ticket")
            val error = simulation.errorOf(ticket)
            if (error == null) assertTrue(isInLog, "write $ticket was acknowledged and is not in the log")
            val isRefused = error != null && ErrorTable.answerTo(error).execution == Execution.NOT_RUN
            if (isRefused &&
                simulation.errorOf(ticket + RESEND) != null
            ) {
                assertTrue(!isInLog, "write $ticket was refused as $error and is in the log")
            }
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `no request runs twice although requests are resent`(seed: Int) {
        // A commit of a transaction without statements leaves an empty entry.
        val log = run(seed).model.log.filter { it.isNotEmpty() }
        assertEquals(log.distinct(), log)
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `transactions do not mix and keep the order of their statements`(seed: Int) {
        val simulation = run(seed)
        val committed = simulation.model.log.filter { it.startsWith("x") }
        committed.forEach { entry ->
            val parts = entry.split("+")
            assertEquals(1, parts.map { it.substringBefore("/") }.distinct().size, "transactions mixed in $entry")
            val sent = parts.map { it.substringAfter("/").toInt() }
            assertEquals(sent.sorted(), sent, "out of order in $entry")
        }
        assertTrue(simulation.model.maxConnections <= simulation.model.slots, "more connections than slots")
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `the schedules contain lost answers and commits, so that the other tests check them`(seed: Int) {
        val simulation = run(seed)
        assertTrue(simulation.replies.values.any { it.isErr && it.component2()?.kind == ErrorKind.OUTCOME_UNKNOWN })
        assertTrue(simulation.model.log.count { it.startsWith("w") } > WRITES / 2)
        assertTrue(simulation.model.log.any { it.startsWith("x") })
    }

    private fun run(seed: Int): OwnerSimulation {
        val random = Random(seed)
        val faults = Faults(lostRequest = 0.03, lostAnswer = 0.05)
        val simulation = OwnerSimulation(seed, faults, OwnerLimits(silenceMillis = 200, transactionIdleMillis = 400))
        writeTickets.forEach { ticket ->
            val millis = random.nextLong(0, SPAN_MILLIS)
            val call = write("w$ticket", organisation = "o${ticket % 4}", deadlineMillis = END_MILLIS)
            simulation.submitAt(millis, ticket) { call }
            simulation.submitAt(millis + random.nextLong(0, 800), ticket + RESEND) { call }
        }
        readTickets.forEach { ticket ->
            simulation.submitAt(random.nextLong(0, SPAN_MILLIS), ticket) { read().copy(deadlineMillis = END_MILLIS) }
        }
        beginTickets.forEachIndexed { index, ticket -> transaction(simulation, random, ticket, index) }
        simulation.runUntil(END_MILLIS + 500)
        return simulation
    }

    private fun transaction(simulation: OwnerSimulation, random: Random, ticket: Long, index: Int) {
        val millis = random.nextLong(0, SPAN_MILLIS)
        simulation.submitAt(millis, ticket) { begin("b$index").copy(deadlineMillis = END_MILLIS) }
        (1..STATEMENTS).forEach { number ->
            simulation.submitAt(millis + 30L * number + random.nextLong(0, 20), ticket + number) {
                inTransaction("t$ticket", "x$index/$number").copy(deadlineMillis = END_MILLIS)
            }
        }
        simulation.submitAt(millis + 30L * (STATEMENTS + 2), ticket + STATEMENTS + 1) {
            commit("t$ticket").copy(deadlineMillis = END_MILLIS)
        }
    }

    private fun lastTicket(simulation: OwnerSimulation): Long = simulation.replies.keys.max()

    private companion object {
        const val WRITES = 60
        const val RESEND = 60L
        const val STATEMENTS = 3
        const val TRANSACTIONS = 12
        const val SPAN_MILLIS = 3_000L
        const val END_MILLIS = 8_000L
        val writeTickets = 1L..WRITES
        val readTickets = 121L..180L
        val beginTickets = (0 until TRANSACTIONS).map { 181L + it * (STATEMENTS + 2) }

        @JvmStatic
        fun seeds(): List<Int> = (1..25).toList()
    }
}
