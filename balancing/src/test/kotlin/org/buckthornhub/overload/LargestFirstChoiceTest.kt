package org.buckthornhub.overload

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

// Guards against the close of an ordinary caller's connection while others hold the memory or have no session.
internal class LargestFirstChoiceTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `connections are closed that hold most or have no session`(case: ChoiceCase) {
        val numbered = case.connections.mapIndexed { index, connection -> connection.copy(id = GuardedId(index.toLong())) }
        val closed = if (case.excessBytes == null) {
            listOfNotNull(LargestFirstChoice.forConnection(numbered, GuardedId(numbered.size.toLong())))
        } else {
            LargestFirstChoice.forBytes(numbered, case.excessBytes)
        }
        assertEquals(case.closed, closed.map { it.value.toInt() })
    }

    private companion object {
        fun session(freeable: Long = 0, bound: Long = 0) =
            GuardedConnection(GuardedId(0), isEstablished = true, holding = Holding(freeable, bound))

        fun stranger(freeable: Long = 0, bound: Long = 0) = session(freeable, bound).copy(isEstablished = false)

        @JvmStatic
        fun cases(): List<ChoiceCase> = listOf(
            ChoiceCase("the largest goes first", listOf(session(10), session(30), session(20)), 25, listOf(1)),
            ChoiceCase("as many as are needed", listOf(session(10), session(30), session(20)), 45, listOf(1, 2)),
            ChoiceCase("one without a session before a somewhat larger session", listOf(session(15), stranger(10)), 5, listOf(1)),
            ChoiceCase("a much larger session before one without", listOf(session(25), stranger(10)), 5, listOf(0)),
            ChoiceCase("what holds nothing stays", listOf(session(), stranger(), session(10)), 50, listOf(2)),
            ChoiceCase("a request that runs frees nothing", listOf(session(bound = 90), session(10)), 50, listOf(1)),
            ChoiceCase("the oldest without a session makes room", listOf(session(), stranger(), stranger()), null, listOf(1)),
            ChoiceCase("one without a session that holds something makes room", listOf(stranger(), stranger(5)), null, listOf(1)),
            ChoiceCase("a session that holds something makes room", listOf(session(), session(5)), null, listOf(1)),
            ChoiceCase("idle sessions stay", listOf(session(), session()), null, emptyList()),
            ChoiceCase("a request that runs stays", listOf(stranger(bound = 5), session(5, 5)), null, emptyList()),
        )
    }
}
