package org.buckthornhub.target.owner

import com.github.michaelbull.result.getError
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.target.owner.Calls.write
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.Test
import kotlin.test.assertEquals

/** At most once across a change of the owner, whose ledger is lost: the target's log decides. */
internal class HolderChangeTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `a resend at the new owner leaves one entry`(case: HolderChangeCase) {
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
    fun `a first send that arrives after the resend is refused by the log`() {
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
        fun cases(): List<HolderChangeCase> = listOf(
            HolderChangeCase("the first was answered", Faults(), Faults(), ErrorKind.ALREADY_RAN),
            HolderChangeCase("the first ran, its answer was lost", Faults(lostAnswer = 1.0), Faults(), ErrorKind.ALREADY_RAN),
            HolderChangeCase("the first never arrived", Faults(lostRequest = 1.0), Faults(), error = null),
            HolderChangeCase(
                "the first ran, no second instance had it",
                Faults(isSecondInstanceSilent = true),
                Faults(),
                ErrorKind.ALREADY_RAN,
            ),
            HolderChangeCase("both ran into lost answers", Faults(lostAnswer = 1.0), Faults(lostAnswer = 1.0), ErrorKind.OUTCOME_UNKNOWN),
        )
    }
}
