package org.buckthornhub.coordination

import io.ktor.http.HttpMethod
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.merge
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

/** Answers daemons that serve sessions: the leader holds a question back until there is something new. */
internal class ReportRoutes(
    private val control: ControlTask,
    private val coordinator: CoordinatorTask,
    private val controlVms: StateSource<Set<VmId>>,
    private val clock: Clock,
) {
    fun routes(): List<Route> = listOf(Route(HttpMethod.Post, ReportTask.PATH) { answer(it) })

    private suspend fun answer(request: HttpRequest): HttpReply {
        val receivedMillis = clock.nowMillis()
        return withPeerBody(request, ProxyReport.serializer()) { report ->
            if (control.leadership.current().isLeader) {
                coordinator.offer(CoordinatorMessage.Reported(report))
                awaitNews(report)
            }
            HttpReply(status = 200, body = PeerJson.encodeToString(ProxyReportAnswer.serializer(), newsFor(report, receivedMillis)))
        }
    }

    private suspend fun awaitNews(report: ProxyReport) {
        withTimeoutOrNull(HOLD_MILLIS) {
            merge(control.changes, coordinator.changes).first { hasNews(report) || !control.leadership.current().isLeader }
        }
    }

    private fun hasNews(report: ProxyReport): Boolean {
        val isTableNew = (control.state.current().routeTable?.table?.version ?: 0) > report.tableVersion
        return isTableNew || isDirectoryNew(report)
    }

    private fun isDirectoryNew(report: ProxyReport): Boolean = report.controlTerm != control.leadership.current().controlTerm ||
        report.directoryRevision != coordinator.current().directoryRevision

    private fun newsFor(report: ProxyReport, receivedMillis: Long): ProxyReportAnswer {
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
            ageMillis = view.freshMillis.takeIf { it > 0 }?.let { nowMillis - it },
            heldMillis = nowMillis - receivedMillis,
            tableVersion = table?.version ?: 0,
            table = table?.takeIf { it.version > report.tableVersion },
            directoryRevision = state.directoryRevision,
            instances = state.directory.records.values.toList().takeIf { leadership.isLeader && isDirectoryNew(report) },
            ended = if (leadership.isLeader) state.directory.ended else emptyMap(),
            shares = if (isSettled && table != null) state.demand.sharesOf(report.vm, table.organisations.keys) else null,
            proxies = maxOf(state.demand.reports.size, 1),
            rank = state.demand.rankOf(report.vm),
        )
    }

    private companion object {
        /** Bounds how old limits and proofs of freshness get while nothing changes; in ms. */
        const val HOLD_MILLIS = 400L
    }
}
