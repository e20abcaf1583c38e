package org.buckthornhub.connection

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.statement.Access
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

internal class ConnectionSetupTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `the setup gives a connection the values of the session`(case: SetupCase) {
        val setup = ConnectionSetup.between(case.connection, case.session, case.needed)
        assertEquals(case.steps, setup.steps)
        assertEquals(case.session.values, setup.state.values)
    }

    @Test
    fun `after random earlier sessions, a target that runs the steps has the values and prepared statement of the session`() {
        val random = Random(11)
        repeat(200) {
            var connection = TargetConnectionState(organisation)
            var target = connection
            repeat(30) {
                val session = randomSession(random)
                val needed = PreparedStatement(Access.entries.random(random), "q${random.nextInt(4)}").takeIf { random.nextBoolean() }
                val setup = ConnectionSetup.between(connection, session, needed)
                target = setup.steps.fold(target) { state, step -> applySetup(state, step) }
                connection = setup.state
                assertEquals(session.values, target.values)
                if (needed != null) assertEquals(needed, target.prepared.entries.single { it.value == connection.prepared[needed] }.key)
            }
        }
    }

    private fun randomSession(random: Random) =
        SessionState(values = (0 until random.nextInt(4)).associate { "v${random.nextInt(4)}" to "${random.nextInt(3)}" }.toPersistentMap())

    // Model of a target that follows the protocol.
    private fun applySetup(state: TargetConnectionState, step: SetupStatement): TargetConnectionState = when (step) {
        is SetupStatement.Discard -> TargetConnectionState(organisation)
        is SetupStatement.SetValue -> state.copy(values = state.values.put(step.name, step.value))
        is SetupStatement.Prepare -> {
            check(step.name !in state.prepared.values) { "a name is prepared twice" }
            state.copy(prepared = state.prepared.put(step.statement, step.name))
        }
    }

    private companion object {
        private val organisation = OrganisationId("o")
        private val empty = TargetConnectionState(organisation)
        private val preparedRead = PreparedStatement(Access.READ, "q1")
        private val withA = empty.copy(values = persistentMapOf("a" to "1"))
        private val sessionA = SessionState(values = persistentMapOf("a" to "1"))

        @JvmStatic
        fun cases(): List<SetupCase> = listOf(
            SetupCase("a connection and a session without values", empty, SessionState(), null, emptyList()),
            SetupCase("a missing value", empty, sessionA, null, listOf(SetupStatement.SetValue("a", "1"))),
            SetupCase("the same value", withA, sessionA, null, emptyList()),
            SetupCase(
                "a different value",
                empty.copy(values = persistentMapOf("a" to "2")),
                sessionA,
                null,
                listOf(SetupStatement.SetValue("a", "1")),
            ),
            SetupCase("a value of another session", withA, SessionState(), null, listOf(SetupStatement.Discard)),
            SetupCase(
                "a value of another session and a missing value",
                empty.copy(values = persistentMapOf("b" to "1")),
                sessionA,
                null,
                listOf(SetupStatement.Discard, SetupStatement.SetValue("a", "1")),
            ),
            SetupCase(
                "a statement that is not prepared",
                empty,
                SessionState(),
                preparedRead,
                listOf(SetupStatement.Prepare("p1", preparedRead)),
            ),
            SetupCase(
                "a statement that another session prepared",
                empty.copy(prepared = persistentMapOf(preparedRead to "p1"), preparedCount = 1),
                SessionState(),
                preparedRead,
                emptyList(),
            ),
            SetupCase(
                "a name is not reused after a discard",
                withA.copy(prepared = persistentMapOf(preparedRead to "p4"), preparedCount = 4),
                SessionState(),
                preparedRead,
                listOf(SetupStatement.Discard, SetupStatement.Prepare("p5", preparedRead)),
            ),
        )
    }
}
