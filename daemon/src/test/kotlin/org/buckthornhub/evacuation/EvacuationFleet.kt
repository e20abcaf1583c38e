package org.buckthornhub.evacuation

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import org.buckthornhub.clock.Clock
import org.buckthornhub.connection.FakeCaller
import org.buckthornhub.connection.FakeInstance
import org.buckthornhub.connection.FakeLink
import org.buckthornhub.control.EvacuationService
import org.buckthornhub.coordination.ProxyReport
import org.buckthornhub.coordination.ProxyReportAnswer
import org.buckthornhub.coordination.ReportRevision
import org.buckthornhub.coordination.ReportTask
import org.buckthornhub.daemon.SessionProxyAssembly
import org.buckthornhub.daemon.SessionProxySettings
import org.buckthornhub.fleet.VmId
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.PrimaryDesignations
import org.buckthornhub.http.HttpFailure
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.PeerJson
import org.buckthornhub.organisation.ApiKey
import org.buckthornhub.organisation.KeyDigest
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.quota.LimitTolerance
import org.buckthornhub.routetable.DatabaseName
import org.buckthornhub.routetable.DatabaseRoute
import org.buckthornhub.routetable.GroupLimits
import org.buckthornhub.routetable.OrganisationAccess
import org.buckthornhub.routetable.ReadGuarantee
import org.buckthornhub.routetable.RouteTable
import org.buckthornhub.target.TargetRole

/** A daemon in virtual time, with [instances] in zones of their names, and a control VM that answers its reports and takes orders. */
internal class EvacuationFleet(
    private val scope: TestScope,
    private val instances: List<FakeInstance>,
) {
    private val clock = object : Clock {
        override fun nowMillis(): Long = scope.currentTime + START_MILLIS

        override fun wallMillis(): Long = nowMillis()
    }
    private val quorum = FakeQuorum()
    private val records = MutableStateFlow(
        instances.mapIndexed { index, each ->
            each.record.copy(zone = ZoneId(each.record.target.value), address = "10.0.0.${index + 1}:1")
        },
    )

    /** Whether the reports of the daemon get no answer. */
    var isPartitioned = false
    val service = EvacuationService(quorum) { _, _, _ -> Err(HttpFailure(sent = false, "not used")) }
    private val daemon = SessionProxyAssembly(
        SessionProxySettings(
            VmId("vm"),
            ZoneId("a"),
            listOf(VmId("c1")),
            controlPort = 1,
            keyFreshMillis = 4_500,
            graceMillis = 6_000,
            primaryDrainMillis = 3_500,
            LimitTolerance(),
            evacuationMillis = BOUND_MILLIS,
        ),
        { record, organisation, _, _ -> Ok(FakeLink(instances.first { it.record.target == record.target }, organisation)) },
        { ControlLink() },
        clock,
    )

    fun start(): Unit = daemon.start(scope.backgroundScope)

    fun caller(): FakeCaller = FakeCaller().also { daemon.serve(it) }

    /** Lets the instance [name] lead from now on, as its announcement and that of the old primary tell. */
    fun promote(name: String) {
        instances.forEach { it.role = if (it.record.target.value == name) TargetRole.PRIMARY else TargetRole.REPLICA }
        records.value = records.value.map { record ->
            record.copy(role = instances.first { it.record.target == record.target }.role, sequence = record.sequence + 1)
        }
    }

    private inner class ControlLink : HttpLink {
        override suspend fun post(
            path: String,
            body: String,
            timeoutMillis: Long,
            headers: Map<String, String>,
        ): Result<HttpReply, HttpFailure> {
            val receivedMillis = clock.nowMillis()
            val report = if (path == ReportTask.PATH) PeerJson.decodeFromString(ProxyReport.serializer(), body) else null
            if (isPartitioned || report == null) return lost(timeoutMillis)
            while (!revision().isNewTo(report) && clock.nowMillis() - receivedMillis < HOLD_MILLIS) delay(STEP_MILLIS)
            if (isPartitioned) return lost(timeoutMillis)
            return Ok(HttpReply(status = 200, PeerJson.encodeToString(ProxyReportAnswer.serializer(), answer(report, receivedMillis))))
        }

        override suspend fun get(path: String, timeoutMillis: Long, headers: Map<String, String>) = lost(timeoutMillis)

        override fun close() = Unit

        private suspend fun lost(timeoutMillis: Long): Result<HttpReply, HttpFailure> {
            delay(timeoutMillis)
            return Err(HttpFailure(sent = true, "partitioned"))
        }
    }

    private fun directoryRevision(): Long = records.value.sumOf { it.sequence }

    private fun revision() = ReportRevision(
        isLeader = true,
        controlTerm = 1,
        tableVersion = table.version,
        directoryRevision = directoryRevision(),
        designationRevision = 0,
        evacuationRevision = quorum.state.current().evacuations.revision,
    )

    private fun answer(report: ProxyReport, receivedMillis: Long) = ProxyReportAnswer(
        leader = VmId("c1"),
        controlTerm = 1,
        controlVms = setOf(VmId("c1")),
        ageMillis = 10,
        heldMillis = clock.nowMillis() - receivedMillis,
        tableVersion = table.version,
        table = table.takeIf { it.version > report.tableVersion },
        directoryRevision = directoryRevision(),
        instances = records.value.takeIf { report.directoryRevision != directoryRevision() },
        shares = emptyMap(),
        designations = PrimaryDesignations(),
        leaderMillis = clock.nowMillis(),
        evacuations = quorum.state.current().evacuations.takeIf { it.revision > 0 },
    )

    companion object {
        const val BOUND_MILLIS = 5_000L
        private const val START_MILLIS = 10_000L
        private const val HOLD_MILLIS = 400L
        private const val STEP_MILLIS = 5L
        private val organisation = OrganisationId("o")

        private fun route(name: String, guarantee: ReadGuarantee) =
            DatabaseRoute(name, DatabaseName(name), GroupId("g"), guarantee, statementTimeoutMillis = 800, objectiveMillis = 400)

        private val table = RouteTable(
            version = 1,
            routes = listOf(route("latest", ReadGuarantee.Latest), route("bounded", ReadGuarantee.BoundedAge(30_000)))
                .associateBy { it.database },
            groups = mapOf(GroupId("g") to GroupLimits(20)),
            organisations = mapOf(organisation to OrganisationAccess(organisation, setOf(KeyDigest.of(ApiKey("key"))), 100.0, 100.0)),
            transactionIdleMillis = 10_000,
        )
    }
}
