package org.buckthornhub.evacuation

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.test.runTest
import org.buckthornhub.connection.FakeInstance
import org.buckthornhub.connection.FakeLink
import org.buckthornhub.connection.TargetStatement
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.statement.RequestId
import org.buckthornhub.target.TargetRole
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

/** Statements with a connection whose later messages would reach the zone after the bound. */
internal class GuardedLinkTest {
    @ParameterizedTest
    @EnumSource(EvacuationStage::class)
    fun `a link sends nothing once its zone is closed, and says that nothing was sent`(stage: EvacuationStage) = runTest {
        var current = EvacuationStage.SERVING
        val evacuations = object : ZoneEvacuations {
            override fun stageOf(zone: ZoneId) = current

            override fun watch(scope: CoroutineScope, zone: ZoneId, stage: EvacuationStage) = null
        }
        val instance = FakeInstance("a", TargetRole.PRIMARY, applied = 7)
        val links = GuardedLinkFactory({ _, organisation, _, _ -> Ok(FakeLink(instance, organisation)) }, evacuations)
        val link = assertNotNull(links.open(instance.record, OrganisationId("o"), timeoutMillis = 100) {}.get())
        link.run(TargetStatement.Begin(readOnly = false, floor = null), timeoutMillis = 100)
        current = stage
        val isClosed = stage == EvacuationStage.CLOSED
        val commit = link.run(TargetStatement.Commit(RequestId("q")), timeoutMillis = 100)
        assertEquals(if (isClosed) false else null, commit.getError()?.mayHaveRun)
        assertEquals(if (isClosed) 1 else 0, instance.openTransactions)
        assertEquals(isClosed, links.open(instance.record, OrganisationId("o"), timeoutMillis = 100) {}.isErr)
    }
}
