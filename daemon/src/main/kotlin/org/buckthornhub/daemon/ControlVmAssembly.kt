package org.buckthornhub.daemon

import com.github.michaelbull.result.getOrElse
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import org.buckthornhub.clock.Clock
import org.buckthornhub.control.ControlMessage
import org.buckthornhub.control.ControlRoutes
import org.buckthornhub.control.ControlTask
import org.buckthornhub.control.DocumentBudgetTask
import org.buckthornhub.control.EvacuationRoutes
import org.buckthornhub.control.EvacuationService
import org.buckthornhub.control.FolderStorage
import org.buckthornhub.control.MemberLinks
import org.buckthornhub.control.RouteTableService
import org.buckthornhub.coordination.CoordinatorTask
import org.buckthornhub.coordination.InstanceAnnouncementService
import org.buckthornhub.coordination.ReportRoutes
import org.buckthornhub.coordination.ReservePolicy
import org.buckthornhub.coordination.ReserveRoutes
import org.buckthornhub.coordination.ReserveTask
import org.buckthornhub.decisionlog.BoundedQueueAppender
import org.buckthornhub.decisionlog.SessionMetrics
import org.buckthornhub.evacuation.EvacuationMetrics
import org.buckthornhub.failover.FailoverSettings
import org.buckthornhub.failover.InstancePromoter
import org.buckthornhub.failover.InstanceSurvey
import org.buckthornhub.failover.PrimaryStopper
import org.buckthornhub.failover.ReplicaControl
import org.buckthornhub.fleet.VmId
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.HttpServer
import org.buckthornhub.http.Route
import org.buckthornhub.observe.MetricsRoutes
import org.buckthornhub.peer.PeerAuthenticator
import org.buckthornhub.quota.LimitObserver
import org.buckthornhub.quota.LimitReport
import org.buckthornhub.replication.ReplicationMessage
import org.buckthornhub.replication.ReplicationSettings
import org.buckthornhub.replication.ReplicationState
import org.buckthornhub.replication.RunId
import org.buckthornhub.routetable.RouteTableParser
import java.io.File
import java.util.UUID

/** Builds a control VM: a member or standby of the control quorum, and the coordinator, which is active while this VM leads. */
public class ControlVmAssembly(
    private val settings: ControlVmSettings,
    survey: InstanceSurvey,
    orders: InstancePromoter,
    stopper: PrimaryStopper,
    replicas: ReplicaControl,
    parser: RouteTableParser,
    links: HttpLink.Factory,
    private val clock: Clock,
) {
    private val authority = PeerAuthenticator.open()
    private val memberLinks = MemberLinks(settings.vm, { "${it.value}:${settings.port}" }, links, authority) { message ->
        control.offer(ControlMessage.Replicate(ReplicationMessage.Received(message)))
    }
    private val control: ControlTask = openControl()
    private val failover = FailoverSettings(isFencedByPlatform = settings.isFencedByPlatform)
    private val coordinator = CoordinatorTask(settings.vm, control, survey, orders, stopper, failover, clock, replicas, parser)
    private val leaderClient = LeaderControlClient(control.leadership, { "${it.value}:${settings.port}" }, links)

    /** Accepts route tables from operators on any control VM and forwards them to the leader. */
    public val routeTables: RouteTableService = RouteTableService(control, leaderClient, parser, DocumentBudgetTask())

    /** Accepts announcements of instances on any control VM and forwards them to the leader. */
    public val announcements: InstanceAnnouncementService = InstanceAnnouncementService(settings.vm, control, coordinator, leaderClient)

    /** Accepts orders to evacuate zones on any control VM and forwards them to the leader. */
    public val evacuations: EvacuationService = EvacuationService(control, leaderClient)
    private val hasEvacuations = settings.evacuationMillis != null
    private val registry = PrometheusRegistry()
    private val reserve = ReserveTask(
        control,
        coordinator,
        clock,
        ReservePolicy(settings.adaptsToLoad, settings.isFirstStart, ELECTION_MILLIS),
        if (settings.adaptsToLoad) LimitReport(registry, clock) else LimitObserver.NONE,
    )

    /** HTTP routes for operators: the metrics of this VM and, where the deployment has them, evacuations. */
    public val operatorRoutes: List<Route> =
        MetricsRoutes(registry).routes() + if (hasEvacuations) EvacuationRoutes(evacuations).routes() else emptyList()
    private val reports = ReportRoutes(control, coordinator, control.memberVms, clock)
    private val server: HttpServer =
        HttpServer(
            settings.vm.value,
            settings.port,
            ControlRoutes(control, authority).routes() +
                reports.routes() +
                ReserveRoutes(reserve).routes() +
                routeTables.routes() +
                announcements.routes() +
                if (hasEvacuations) evacuations.routes() else emptyList(),
            MAX_BODY_BYTES,
        )

    init {
        BoundedQueueAppender.registerMetrics(registry)
        SessionMetrics.gauge(registry, "buckthornhub_control_leads", "1 if this VM leads the control quorum.") {
            if (control.leadership.current().isLeader) 1.0 else 0.0
        }
        SessionMetrics.gauge(registry, "buckthornhub_control_term", "Term of the control quorum, which fences orders.") {
            control.leadership.current().controlTerm.toDouble()
        }
        SessionMetrics.gauge(registry, "buckthornhub_control_revision", "Accepted changes.") {
            control.state.current().revision.toDouble()
        }
        SessionMetrics.gauge(registry, "buckthornhub_instances", "Instances in the directory of the leader.") {
            coordinator.current().directory.records.size.toDouble()
        }
        SessionMetrics.gauge(registry, "buckthornhub_proxies", "Daemons that serve sessions and report to this VM.") {
            coordinator.current().demand.reports.size.toDouble()
        }
        if (hasEvacuations) EvacuationMetrics.register(registry) { control.state.current().evacuations }
    }

    /** Adds a metric of the program that this assembly runs in. */
    public fun gauge(name: String, help: String, value: () -> Double): Unit = SessionMetrics.gauge(registry, name, help, value)

    public fun start(scope: CoroutineScope) {
        memberLinks.start(scope)
        control.start(scope)
        coordinator.start(scope)
        reserve.start(scope)
        routeTables.start(scope)
        reports.start(scope)
        server.start()
    }

    /** Adds [vms] to the VMs that are contacted to discover the quorum. */
    public fun introduce(vms: List<VmId>) {
        control.offer(ControlMessage.Replicate(ReplicationMessage.DiscoveryVmsAdded(vms.toSet())))
    }

    private fun openControl(): ControlTask {
        val opened = FolderStorage.open(File(settings.dataFolder), settings.vm).getOrElse { error(it.detail) }
        val replication =
            ReplicationSettings(
                vms = settings.introducers.toSet(),
                // The members that are left have to be a majority.
                size = maxOf(settings.introducers.toSet().size, 2 * settings.toleratedLosses + 1),
                mayBootstrap = settings.isFirstStart,
                allowsStandby = true,
                zone = settings.zone,
                heartbeatMillis = HEARTBEAT_MILLIS,
                electionMillis = ELECTION_MILLIS,
                compactAfter = COMPACT_AFTER,
                batchLimit = BATCH_ENTRIES,
            )
        val seed = clock.wallMillis() xor settings.vm.hashCode().toLong()
        val run = RunId(UUID.randomUUID().toString())
        val state = ReplicationState(opened.self, replication, seed, run, opened.state, resumedAtMillis = clock.nowMillis())
        return ControlTask(state, opened.storage, memberLinks, clock)
    }

    private companion object {
        /**
         * Log entries after which the log is compacted.
         *
         * A route table of some hundred routes takes 300 KB of heap, and a long log of them some tens of MB; a snapshot holds one.
         */
        const val COMPACT_AFTER = 16

        /** Route tables per message, few enough that the message arrives before the election timeout. */
        const val BATCH_ENTRIES = 2

        /** Largest message: two large route tables with the operator's original text. */
        const val MAX_BODY_BYTES = 4_194_304L

        /** Interval between heartbeats of the leader, in ms; it bounds the age of the confirmed state that daemons receive. */
        const val HEARTBEAT_MILLIS = 150L

        /** Election timeout in ms: several heartbeats, so that a slow disk or a busy processor triggers no election. */
        const val ELECTION_MILLIS = 700L
    }
}
