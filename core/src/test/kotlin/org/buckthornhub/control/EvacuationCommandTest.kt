package org.buckthornhub.control

import org.buckthornhub.fleet.ZoneId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

/** Orders that are repeated, late or invalid. */
internal class EvacuationCommandTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `an order is applied once, and a late one does not undo the opposite order`(case: EvacuationCase) {
        val states = case.commands.runningFold(MachineState() to (CommandOutcome.Accepted(0) as CommandOutcome)) { (state, _), command ->
            ControlStateMachine.apply(state, command)
        }
        val (state, outcome) = states.last()
        assertEquals(case.outcome, outcome.javaClass)
        assertEquals(Evacuations(case.zones.map { ZoneId(it) }.toSet(), case.revision), state.control.evacuations)
        val deltas = states.map { it.first.control }.zipWithNext { old, new -> ControlDeltas.between(old, new) }
        assertEquals(state.control, deltas.fold(ControlState()) { known, delta -> ControlDeltas.apply(known, delta) ?: known })
    }

    private companion object {
        private val accepted = CommandOutcome.Accepted::class.java
        private val conflict = CommandOutcome.Conflict::class.java
        private val invalid = CommandOutcome.Invalid::class.java

        private fun start(expected: Long, zone: String = "a") = ControlCommand.SetEvacuation(ZoneId(zone), isEvacuated = true, expected)

        private fun end(expected: Long, zone: String = "a") = ControlCommand.SetEvacuation(ZoneId(zone), isEvacuated = false, expected)

        private val full = (0L until Evacuations.MAX_ZONES).map { start(it, "zone-$it") }
        private val fullNames = full.map { it.zone.value }.toSet()

        @JvmStatic
        fun cases(): List<EvacuationCase> = listOf(
            EvacuationCase("a zone", listOf(start(0)), accepted, setOf("a"), 1),
            EvacuationCase("an order that is in force is sent again", listOf(start(0), start(0)), accepted, setOf("a"), 1),
            EvacuationCase("a second zone", listOf(start(0), start(1, "b")), accepted, setOf("a", "b"), 2),
            EvacuationCase("two orders of which one does not know the other", listOf(start(0), start(0, "b")), conflict, setOf("a"), 1),
            EvacuationCase("an evacuation ends", listOf(start(0), end(1)), accepted, emptySet(), 2),
            EvacuationCase("an end is sent again", listOf(start(0), end(1), end(1)), accepted, emptySet(), 2),
            EvacuationCase("the end of an evacuation that was not ordered", listOf(end(0)), accepted, emptySet(), 0),
            EvacuationCase("a repetition arrives after the end", listOf(start(0), end(1), start(0)), conflict, emptySet(), 2),
            EvacuationCase("a late end arrives after a new order", listOf(start(0), end(1), start(2), end(1)), conflict, setOf("a"), 3),
            EvacuationCase("the most zones", full, accepted, fullNames, 64),
            EvacuationCase("one zone too many", full + start(64), invalid, fullNames, 64),
            EvacuationCase("an end while there are the most zones", full + end(64, "zone-0"), accepted, fullNames - "zone-0", 65),
            EvacuationCase("the longest name", listOf(start(0, "x".repeat(64))), accepted, setOf("x".repeat(64)), 1),
            EvacuationCase("every character of a name", listOf(start(0, "Eu_west.1-a")), accepted, setOf("Eu_west.1-a"), 1),
        ) + listOf("", "x".repeat(65), "a b", "a/b", "z\u00fcrich", "a\n").map {
            EvacuationCase("the invalid name '${it.replace("\n", "LF").take(9)}'", listOf(start(0, it)), invalid, emptySet(), 0)
        }
    }
}
