package org.buckthornhub.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.collectLatest
import kotlinx.coroutines.flow.distinctUntilChanged
import kotlinx.coroutines.flow.distinctUntilChangedBy
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.launch
import org.buckthornhub.clock.Clock
import org.buckthornhub.connection.ClientLink
import org.buckthornhub.connection.LeasedPrimaryAuthority
import org.buckthornhub.connection.PrimaryAuthority
import org.buckthornhub.connection.SessionEnvironment
import org.buckthornhub.connection.SessionSettings
import org.buckthornhub.connection.SessionTask
import org.buckthornhub.connection.TargetLink
import org.buckthornhub.coordination.ProxyView
import org.buckthornhub.coordination.ReportMessage
import org.buckthornhub.coordination.ReportTask
import org.buckthornhub.decisionlog.BoundedQueueAppender
import org.buckthornhub.decisionlog.CompositeDecisionLog
import org.buckthornhub.decisionlog.DecisionLog
import org.buckthornhub.decisionlog.SessionMetrics
import org.buckthornhub.evacuation.EvacuatedRecords
import org.buckthornhub.evacuation.EvacuationMetrics
import org.buckthornhub.evacuation.EvacuationSchedule
import org.buckthornhub.evacuation.EvacuationStage
import org.buckthornhub.evacuation.GuardedLinkFactory
import org.buckthornhub.evacuation.ScheduledEvacuations
import org.buckthornhub.evacuation.ZoneEvacuations
import org.buckthornhub.fleet.VmId
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.horizon.CommitTimelineMessage
import org.buckthornhub.horizon.CommitTimelineTask
import org.buckthornhub.horizon.ProbeAssignment
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.Route
import org.buckthornhub.instancepool.ConnectionShare
import org.buckthornhub.instancepool.LoadLogTask
import org.buckthornhub.instancepool.LoadMetrics
import org.buckthornhub.instancepool.PoolCommand
import org.buckthornhub.instancepool.PoolMessage
import org.buckthornhub.instancepool.PoolSettings
import org.buckthornhub.instancepool.PoolTask
import org.buckthornhub.instancepool.WaitMetrics
import org.buckthornhub.instancepool.WaitObserver
import org.buckthornhub.instancepool.waiting.WaitingSettings
import org.buckthornhub.observe.MetricsRoutes
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.quota.LimitObserver
import org.buckthornhub.quota.LimitReport
import org.buckthornhub.quota.RateLimiterTask
import org.buckthornhub.quota.ReserveSource
import org.buckthornhub.target.TargetRole

/** Builds a daemon that serves sessions on caller connections, independently of the front end that accepts them. */
public class SessionProxyAssembly(
    private val settings: SessionProxySettings,
    targets: TargetLink.Factory,
    links: HttpLink.Factory,
    private val clock: Clock,
    decisions: DecisionLog = DecisionLog.NONE,
) {
    private val registry = PrometheusRegistry()
    private val waiting = if (settings.adaptsToLoad) WaitingSettings.ADAPTIVE else WaitingSettings()
    private val waits = if (settings.adaptsToLoad) WaitMetrics(registry) else WaitObserver.NONE
    private val view = MutableStateFlow(ProxyView())
    private val evacuations =
        settings.evacuationMillis?.let { ScheduledEvacuations(view, EvacuationSchedule(it), clock) } ?: ZoneEvacuations.NONE
    private val records = EvacuatedRecords(evacuations)
    private val pool = PoolTask(
        poolSettings(),
        if (settings.evacuationMillis == null) targets else GuardedLinkFactory(targets, evacuations),
        clock,
        waiting,
        waits,
    )
    private val authority =
        if (settings.isFencedByPlatform) PrimaryAuthority.FENCED_BY_PLATFORM else LeasedPrimaryAuthority(view, clock)
    private val commitTimelines = CommitTimelineTask(pool, authority, clock)
    private val rateLimiter = RateLimiterTask(
        object : ReserveSource {
            override suspend fun withdraw(organisation: OrganisationId, tokens: Int) = report.withdraw(organisation, tokens)

            override suspend fun giveBack(organisation: OrganisationId, tokens: Int) = report.giveBack(organisation, tokens)
        },
        clock,
        settings.adaptsToLoad,
        if (settings.adaptsToLoad) LimitReport(registry, clock) else LimitObserver.NONE,
    )
    private val report: ReportTask =
        ReportTask(
            settings.vm,
            { "${it.value}:${settings.controlPort}" },
            links,
            rateLimiter,
            commitTimelines.unreachable,
            commitTimelines,
            view,
            clock,
        )
    private val leaving = Job()
    private val stopping = Job()
    private val environment =
        SessionEnvironment(
            SessionSettings(settings.keyFreshMillis, tolerance = settings.tolerance),
            report.view,
            pool,
            commitTimelines,
            authority,
            rateLimiter,
            leaving,
            ::isCutOff,
            withMetrics(decisions),
            clock,
            evacuations,
        )
    private lateinit var scope: CoroutineScope

    /** HTTP routes for operators: the metrics of this daemon. */
    public val operatorRoutes: List<Route> = MetricsRoutes(registry).routes()

    /** True while the load balancer may route callers to this daemon. */
    public fun isReady(): Boolean {
        val view = report.view.value
        return stopping.isActive && view.table != null && view.isFresh(clock, settings.keyFreshMillis) && !isCutOff()
    }

    /** Adds a metric of the program that this assembly runs in. */
    public fun gauge(name: String, help: String, value: () -> Double): Unit = SessionMetrics.gauge(registry, name, help, value)

    public fun start(scope: CoroutineScope) {
        this.scope = scope
        listOf(pool, commitTimelines, rateLimiter, report).forEach { it.start(scope) }
        if (settings.adaptsToLoad) LoadLogTask(pool, settings.leavingPriceMillis, clock).start(scope)
        introduce(settings.introducers)
        scope.launch {
            report.view.map { it.positions }.distinctUntilChanged().collect { commitTimelines.offer(CommitTimelineMessage.Shared(it)) }
        }
        scope.launch {
            report.view
                .distinctUntilChangedBy {
                    listOf(it.directory, it.table?.version, it.proxies, it.rank, it.isFleetKnown, it.designations, it.evacuatedSince)
                }
                .collect { applyView(it) }
        }
        scope.launch { report.view.map { it.evacuations.zones }.distinctUntilChanged().collectLatest { applyWhenDrained(it) } }
    }

    /** Replaces the introducers, which are contacted in addition to the control VMs already known. */
    public fun introduce(vms: List<VmId>) {
        report.offer(ReportMessage.Introducers(vms))
    }

    /** Serves the caller on [link] until the caller disconnects or the session ends. */
    public fun serve(link: ClientLink) {
        SessionTask(link, environment).start(scope)
    }

    /** Drains callers and open transactions; returns when the process may exit. */
    public suspend fun stop() {
        stopping.cancel()
        // Until the balancer has seen that this daemon is not ready, it would route a disconnected caller back here.
        delay(minOf(BALANCER_NOTICE_MILLIS, settings.graceMillis / 2))
        leaving.complete()
        delay((settings.graceMillis - BALANCER_NOTICE_MILLIS - EXIT_MARGIN_MILLIS).coerceAtLeast(0))
    }

    private fun poolSettings() = PoolSettings(
        settings.zone,
        settings.primaryDrainMillis,
        adaptsToLoad = settings.adaptsToLoad,
        leavingPriceMillis = settings.leavingPriceMillis,
        seed = settings.vm.value.hashCode().toLong(),
    )

    private fun isCutOff(): Boolean = !report.view.value.isFresh(clock, CUT_OFF_MILLIS) && commitTimelines.areMostPrimariesUnresponsive()

    private fun withMetrics(decisions: DecisionLog): DecisionLog {
        SessionMetrics.gauge(registry, "buckthornhub_route_table_version", "Version of the route table in force.") {
            report.view.value.table?.version?.toDouble() ?: 0.0
        }
        SessionMetrics.gauge(registry, "buckthornhub_route_table_age_seconds", "Time since a majority stood behind the route table.") {
            report.view.value.ageMillis(clock)?.let { it / MILLIS_PER_SECOND } ?: Double.NaN
        }
        SessionMetrics.gauge(registry, "buckthornhub_position_age_seconds", "Age of the oldest group's newest position.") {
            commitTimelines.current().values.maxOfOrNull { clock.nowMillis() - it.lastAnswerMillis }
                ?.let { it / MILLIS_PER_SECOND } ?: Double.NaN
        }
        SessionMetrics.gauge(registry, "buckthornhub_target_connections", "Connections to instances, open or on their way.") {
            pool.current().instances.values.sumOf { it.size }.toDouble()
        }
        SessionMetrics.gauge(registry, "buckthornhub_waiting_statements", "Statements that wait for a connection.") {
            pool.current().waiting.size.toDouble()
        }
        if (settings.adaptsToLoad) LoadMetrics(pool, clock).register(registry)
        if (settings.evacuationMillis != null) EvacuationMetrics.register(registry) { view.value.evacuations }
        BoundedQueueAppender.registerMetrics(registry)
        return CompositeDecisionLog(listOf(SessionMetrics(registry), decisions))
    }

    private suspend fun applyWhenDrained(zones: Set<ZoneId>) = coroutineScope {
        zones.forEach { zone ->
            val drained = evacuations.watch(this, zone, EvacuationStage.DRAINED) ?: return@forEach
            launch {
                drained.join()
                logger.info { "zone $zone is drained: no work is begun there while its evacuation lasts" }
                applyView(view.value)
            }
        }
    }

    private fun applyView(view: ProxyView) {
        // A replaced primary serves nothing until it has become a replica: its log may have commits that its successor lacks.
        val usable = view.directory.records.values
            .filter { it.role == TargetRole.REPLICA || view.designations.allows(it.group, it.target) }
        val records = records.of(usable)
        pool.offer(PoolCommand.Decide(PoolMessage.Directory(records)))
        val primaries = records.filter { it.role == TargetRole.PRIMARY }
            .sortedBy { it.startedWallMillis }
            .associate { it.group to it.target }
        commitTimelines.offer(CommitTimelineMessage.PrimariesChanged(primaries))
        val probed = view.table?.groups?.keys.orEmpty().filter { ProbeAssignment.isAssigned(it, view.rank, view.proxies) }
        // Without an answer of the leader the size of the fleet is not known; sessions then ask when they need a position.
        commitTimelines.offer(CommitTimelineMessage.ProbedGroups(if (view.isFleetKnown) probed.toSet() else emptySet()))
        pool.offer(PoolCommand.Decide(PoolMessage.Limits(connectionLimits(view), shortLivedGroups(view))))
    }

    private fun connectionLimits(view: ProxyView): Map<GroupId, Int> = view.table?.groups.orEmpty().mapValues { (_, limits) ->
        ConnectionShare.of(limits.maxConnections, view.rank, view.proxies)
    }

    private fun shortLivedGroups(view: ProxyView): Set<GroupId> =
        view.table?.groups.orEmpty().filterValues { ConnectionShare.isShortLived(it.maxConnections, view.proxies) }.keys

    private companion object {
        val logger = KotlinLogging.logger {}
        const val MILLIS_PER_SECOND = 1_000.0

        /** Time until the balancer stops routing here, in ms: two failed health checks at an interval of one second. */
        const val BALANCER_NOTICE_MILLIS = 2_200L

        /** Time kept for the process to exit before it is killed, in ms. */
        const val EXIT_MARGIN_MILLIS = 700L

        /**
         * Age of the control state, in ms, from which this daemon counts as cut off if most primaries are silent too.
         *
         * Callers are then served better in another availability zone.
         */
        const val CUT_OFF_MILLIS = 800L
    }
}
