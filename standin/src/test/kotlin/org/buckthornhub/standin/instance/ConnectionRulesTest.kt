package org.buckthornhub.standin.instance

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole
import org.buckthornhub.target.wire.TargetFault
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

/** Tests that connections are limited by the slots and that the slots of idle connections are freed. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class ConnectionRulesTest {
    private val decider = InstanceDecider()
    private val empty = InstanceState(TargetId("g-1"), ZoneId("z1"), TargetRole.PRIMARY, Term(1))

    @ParameterizedTest
    @MethodSource("cases")
    fun `idle connections are closed`(case: ConnectionCase) {
        val opened = decider.decide(empty, InstanceMessage.Connect(CompletableDeferred()), 0).state
        val connection = opened.connections.values.single().copy(usedMillis = case.usedMillis)
        val state = opened.with(if (case.inTransaction) connection.withTransaction() else connection)
        assertEquals(case.isOpen, decider.decide(state, InstanceMessage.Tick, case.nowMillis).state.connections.isNotEmpty())
    }

    @Test
    fun `a connection beyond the number of slots is refused`() {
        val full = (1..3).fold(empty) { state, _ -> decider.decide(state, InstanceMessage.Connect(CompletableDeferred()), 0).state }
        val reply = CompletableDeferred<Result<String, TargetFault>>()
        val effect = decider.decide(full, InstanceMessage.Connect(reply), 0).effects.single() as InstanceEffect.Answer<*>
        val answer = effect.value as Result<*, *>
        assertEquals(TargetFault.Code.NO_FREE_SLOT, (answer.getError() as TargetFault).code)
    }

    private companion object {
        @JvmStatic
        fun cases(): List<ConnectionCase> = listOf(
            ConnectionCase("just opened", inTransaction = false, usedMillis = 0, nowMillis = 3_000, isOpen = true),
            ConnectionCase("idle for too long", inTransaction = false, usedMillis = 0, nowMillis = 3_001, isOpen = false),
            ConnectionCase("used in the meantime", inTransaction = false, usedMillis = 1, nowMillis = 3_001, isOpen = true),
            ConnectionCase(
                "longer idle timeout in a transaction",
                inTransaction = true,
                usedMillis = 0,
                nowMillis = 10_000,
                isOpen = true,
            ),
            ConnectionCase("an abandoned transaction", inTransaction = true, usedMillis = 0, nowMillis = 10_001, isOpen = false),
        )
    }
}
