package org.buckthornhub.target.owner

import com.github.michaelbull.result.getError
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.target.owner.Calls.write
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.Test
import kotlin.test.assertEquals

/** A write runs at most once although the owner changes and its ledger is lost, because the target's log refuses duplicates. */
internal class OwnerChangeTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `a resend to the new owner leaves one log entry`(case: OwnerChangeCase) {
        val before = OwnerSimulation(faults = case.first)
        before.submitAt(0, 1) { write("a") }
        before.runUntil(3_000)
        val after = OwnerSimulation(faults = case.second, model = before.model.copy(connections = emptyMap()))
        after.submitAt(0, 1) { write("a") }
        after.runUntil(3_000)
        assertEquals(case.error, after.errorOf(1))
        assertEquals(listOf("a"), after.model.log)
    }

    @Test
    fun `the log refuses a first send that arrives after its resend`() {
        val after = OwnerSimulation()
        after.submitAt(0, 1) { write("a") }
        after.runUntil(500)
        val (connected, name) = after.model.connect()
        val (late, result) = connected.execute(checkNotNull(name), write("a"))
        assertEquals(ErrorKind.ALREADY_RAN, result.getError()?.kind)
        assertEquals(listOf("a"), late.log)
    }

    private companion object {
        @JvmStatic
        fun cases(): List<OwnerChangeCase> = listOf(
            OwnerChangeCase("the first send was answered", Faults(), Faults(), ErrorKind.ALREADY_RAN),
            OwnerChangeCase("the first send ran and its answer was lost", Faults(lostAnswer = 1.0), Faults(), ErrorKind.ALREADY_RAN),
            OwnerChangeCase("the first send never arrived", Faults(lostRequest = 1.0), Faults(), error = null),
            OwnerChangeCase(
                "the first send ran and no second instance received it",
                Faults(isSecondInstanceSilent = true),
                Faults(),
                ErrorKind.ALREADY_RAN,
            ),
            OwnerChangeCase(
                "the answers of both sends were lost",
                Faults(lostAnswer = 1.0),
                Faults(lostAnswer = 1.0),
                ErrorKind.OUTCOME_UNKNOWN,
            ),
        )
    }
}
