package org.buckthornhub.coordination

import io.ktor.http.HttpMethod
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.merge
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.buckthornhub.clock.Clock
import org.buckthornhub.control.ControlTask
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.fleet.VmId
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.HttpRequest
import org.buckthornhub.http.PeerJson
import org.buckthornhub.http.Route
import org.buckthornhub.peer.withPeerBody

/** Answers reports of daemons that serve sessions. The leader holds each report open until it has an update (long polling). */
internal class ReportRoutes(
    private val control: ControlTask,
    private val coordinator: CoordinatorTask,
    private val controlVms: StateSource<Set<VmId>>,
    private val clock: Clock,
) {
    // One collector compares the revisions for all open reports: with a check for each of them, the work at every heartbeat and
    // message of the quorum would grow with the number of daemons.
    private val revision = MutableStateFlow(currentRevision())
    private val tables = EncodedTable()

    fun start(scope: CoroutineScope) {
        scope.launch { merge(control.changes, coordinator.changes).collect { revision.value = currentRevision() } }
    }

    fun routes(): List<Route> = listOf(Route(HttpMethod.Post, ReportTask.PATH) { answer(it) })

    private suspend fun answer(request: HttpRequest): HttpReply {
        val receivedMillis = clock.nowMillis()
        return withPeerBody(request, ProxyReport.serializer()) { report ->
            if (control.leadership.current().isLeader) {
                coordinator.offer(CoordinatorMessage.Reported(withKnownClock(report)))
                awaitUpdate(report)
            }
            encode(report, replyTo(report, receivedMillis))
        }
    }

    // Times on the clock of an earlier leader mean nothing here.
    private fun withKnownClock(report: ProxyReport): ProxyReport =
        if (report.controlTerm == control.leadership.current().controlTerm) report else report.copy(positions = emptyMap())

    private suspend fun awaitUpdate(report: ProxyReport) {
        withTimeoutOrNull(MAX_HOLD_MILLIS) {
            revision.first { it.isNewTo(report) }
        }
    }

    private fun currentRevision(): ReportRevision {
        val leadership = control.leadership.current()
        val state = control.state.current()
        return ReportRevision(
            isLeader = leadership.isLeader,
            controlTerm = leadership.controlTerm,
            tableVersion = state.routeTable?.table?.version ?: 0,
            directoryRevision = coordinator.current().directoryRevision,
            designationRevision = state.designations.revision,
            evacuationRevision = state.evacuations.revision,
        )
    }

    private fun encode(report: ProxyReport, answer: ProxyReportAnswer): HttpReply {
        val table = control.state.current().routeTable?.table
            ?.takeIf { it.version > report.tableVersion && it.version == answer.tableVersion }
        val text = PeerJson.encodeToString(ProxyReportAnswer.serializer(), answer)
        return if (table == null) HttpReply(OK, text) else HttpReply(OK, text.drop(1), head = tables.headOf(table))
    }

    private fun isDirectoryNew(report: ProxyReport): Boolean = report.controlTerm != control.leadership.current().controlTerm ||
        report.directoryRevision != coordinator.current().directoryRevision

    private fun replyTo(report: ProxyReport, receivedMillis: Long): ProxyReportAnswer {
        val leadership = control.leadership.current()
        val state = coordinator.current()
        val view = control.view()
        val nowMillis = clock.nowMillis()
        val table = view.state.routeTable?.table
        val isSettled = leadership.isLeader && CoordinatorDecider.isSettled(state, nowMillis)
        return ProxyReportAnswer(
            leader = leadership.leader,
            controlTerm = leadership.controlTerm,
            controlVms = controlVms.current(),
            ageMillis = view.freshMillis?.let { nowMillis - it },
            heldMillis = nowMillis - receivedMillis,
            tableVersion = table?.version ?: 0,
            directoryRevision = state.directoryRevision,
            instances = state.directory.records.values.toList().takeIf { leadership.isLeader && isDirectoryNew(report) },
            ended = if (leadership.isLeader) state.directory.ended else emptyMap(),
            shares = if (isSettled && table != null) state.demand.sharesOf(report.vm, table.organisations.keys) else null,
            proxies = maxOf(state.demand.reports.size, 1),
            rank = state.demand.rankOf(report.vm),
            designations = view.state.designations.takeIf { leadership.isLeader },
            leaderMillis = if (leadership.isLeader) nowMillis else 0,
            positions = if (leadership.isLeader) state.positions else emptyMap(),
            evacuations = view.state.evacuations.takeIf { it.revision > 0 },
        )
    }

    private companion object {
        /** Bounds the age of limits and confirmations while nothing changes; in ms. */
        const val MAX_HOLD_MILLIS = 400L
        const val OK = 200
    }
}
