package org.buckthornhub.connection

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.instancepool.waiting.WaitingSettings
import org.buckthornhub.statement.Access
import org.buckthornhub.target.TargetRole
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Times of return. Fails where all refused callers are told the same constant, so that they return together. */
internal class MeasuredReturnTest {
    @ParameterizedTest(name = "adapts {0}, stale configuration {1}: at least {2} different times")
    @CsvSource("true, false, 5", "true, true, 5", "false, false, 1", "false, true, 1")
    fun `callers that are refused together are told different times`(adapts: Boolean, isStale: Boolean, different: Int) = runTest {
        val role = if (isStale) TargetRole.PRIMARY else TargetRole.REPLICA
        val waiting = if (adapts) WaitingSettings.ADAPTIVE else WaitingSettings()
        val fleet = FakeFleet(this, listOf(FakeInstance("i", role, applied = 7)), waiting = waiting).also { it.start() }
        val callers = List(5) { fleet.caller().also { caller -> caller.open("latest", "key") } }
        if (isStale) delay(SessionSettings().keyFreshMillis + 1)
        val errors = callers.map { async { assertIs<ClientReply.Failed>(it.ask(write)).error } }.awaitAll()
        assertEquals(setOf(if (isStale) ErrorKind.CONFIGURATION_STALE else ErrorKind.NO_PRIMARY), errors.map { it.kind }.toSet())
        assertEquals(different, errors.mapNotNull { it.retryAfterMillis }.toSet().size, "$errors")
    }

    private companion object {
        private val write = ClientStatement.Run(Access.WRITE, "WRITE 1 x")
    }
}
