package org.buckthornhub.coordination

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import org.buckthornhub.clock.Clock
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.fleet.VmId
import org.buckthornhub.group.GroupId
import org.buckthornhub.horizon.PrimaryStatus
import org.buckthornhub.horizon.SharedPosition
import org.buckthornhub.http.HttpLink
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.peer.HttpLinkCache
import org.buckthornhub.peer.postJson
import org.buckthornhub.quota.DemandReport
import org.buckthornhub.quota.ReserveSource
import org.buckthornhub.target.TargetId
import org.buckthornhub.task.Task

/**
 * Reports to the control quorum by long polling, and publishes the state that it returns.
 *
 * @param probes state of the primaries as this daemon sees it, for its report
 * @param published where the returned state is published; given from outside, as [probes] itself depends on the leases in it
 */
internal class ReportTask(
    private val vm: VmId,
    private val addressOf: (VmId) -> String,
    links: HttpLink.Factory,
    private val demand: StateSource<DemandReport>,
    private val unreachable: Flow<Set<TargetId>>,
    private val probes: StateSource<Map<GroupId, PrimaryStatus>>,
    private val published: MutableStateFlow<ProxyView>,
    private val clock: Clock,
) : Task<ReportMessage>("report"),
    ReserveSource {
    private var introducers: List<VmId> = emptyList()
    private val controlLinks = HttpLinkCache(links)
    private var unreachablePrimaries: Set<TargetId> = emptySet()
    private var failures = 0
    private var lastReplyTerm = 0L
    private lateinit var scope: CoroutineScope

    val view: StateFlow<ProxyView> get() = published

    override suspend fun withdraw(organisation: OrganisationId, tokens: Int): ReserveGrant? {
        val answer = CompletableDeferred<ReserveGrant?>()
        return if (offer(ReportMessage.RequestReserve(ReserveRequest(organisation, tokens), answer))) answer.await() else null
    }

    override suspend fun giveBack(organisation: OrganisationId, tokens: Int) {
        offer(ReportMessage.RequestReserve(ReserveRequest(organisation, tokens = 0, returned = tokens), CompletableDeferred()))
    }

    override suspend fun onStart(scope: CoroutineScope) {
        this.scope = scope
        scope.launch { unreachable.collect { offer(ReportMessage.UnreachableChanged(it)) } }
        offer(ReportMessage.SendReport)
    }

    override suspend fun handle(message: ReportMessage): Unit = when (message) {
        is ReportMessage.Introducers -> introducers = message.vms
        is ReportMessage.UnreachableChanged -> unreachableChanged(message.targets)
        is ReportMessage.SendReport -> sendReport()
        is ReportMessage.ReplyReceived -> replyReceived(message)
        is ReportMessage.RequestFailed -> requestFailed(message)
        is ReportMessage.RequestReserve -> requestReserve(message)
    }

    override fun onEnd(): Unit = controlLinks.close()

    // The open report does not contain this change and may be held for some time, so an extra report is sent.
    private fun unreachableChanged(targets: Set<TargetId>) {
        if (targets == unreachablePrimaries) return
        unreachablePrimaries = targets
        logger.info { "primaries that do not answer: $targets" }
        val source = published.value.controlVms.firstOrNull() ?: return
        val (link, report) = controlLinks.to(addressOf(source)) to reportOf(published.value).copy(directoryRevision = UNKNOWN_REVISION)
        scope.launch { exchange(source, link, report) }
    }

    private fun replyReceived(message: ReportMessage.ReplyReceived) {
        val before = published.value
        val after = ProxyViewUpdater.update(before, message.from, message.sentAt, message.receivedAt, message.reply)
        published.value = after
        lastReplyTerm = message.reply.controlTerm
        if (after.table !== before.table) logger.info { "applied route table ${after.table?.version} from control VM ${message.from}" }
        if (after.evacuations != before.evacuations) {
            logger.info { "evacuated zones are ${after.evacuations.zones}, change ${after.evacuations.revision}, from ${message.from}" }
        }
        val ageMillis = message.reply.ageMillis
        val isUnconfirmed = ageMillis == null || ageMillis !in 0..MAX_CONFIRMATION_AGE_MILLIS
        if (isUnconfirmed && failures == 0) {
            logger.warn { "control VM ${message.from} has no recent confirmation by a majority (age: $ageMillis ms); trying the next one" }
        }
        if (!isUnconfirmed && failures > 0) logger.info { "control VM ${message.from} is confirmed by a majority, after $failures others" }
        failures = if (isUnconfirmed) failures + 1 else 0
        // Only the leader holds a report open; other VMs reply at once, so the next report has to wait.
        val pause = if (message.reply.instances == null && message.reply.heldMillis < MIN_INTERVAL_MILLIS) MIN_INTERVAL_MILLIS else 0
        sendReportAfter(if (isUnconfirmed) RETRY_MILLIS else pause)
    }

    private fun requestFailed(message: ReportMessage.RequestFailed) {
        if (failures == 0) logger.warn { "report to control VM ${message.from} failed: ${message.detail}; trying the next one" }
        failures += 1
        sendReportAfter(RETRY_MILLIS)
    }

    private fun sendReportAfter(millis: Long) {
        scope.launch {
            delay(millis)
            offer(ReportMessage.SendReport)
        }
    }

    private fun sendReport() {
        val sources = (published.value.controlVms + introducers).distinct()
        if (sources.isEmpty()) return sendReportAfter(RETRY_MILLIS)
        val source = sources[failures % sources.size]
        val link = controlLinks.to(addressOf(source))
        val report = reportOf(published.value)
        scope.launch { offer(exchange(source, link, report)) }
    }

    private fun requestReserve(message: ReportMessage.RequestReserve) {
        val source = published.value.controlVms.firstOrNull()
        if (source == null) {
            message.answer.complete(null)
            return
        }
        val link = controlLinks.to(addressOf(source))
        scope.launch {
            val grant = link.postJson(
                ReserveRoutes.PATH,
                message.request,
                ReserveRequest.serializer(),
                ReserveGrant.serializer(),
                RESERVE_TIMEOUT_MILLIS,
            )
            message.answer.complete(
                grant.getOrElse { detail ->
                    logger.debug { "no reserve tokens from control VM $source: $detail" }
                    null
                },
            )
        }
    }

    private suspend fun exchange(source: VmId, link: HttpLink, report: ProxyReport): ReportMessage {
        val sentAt = ClockReading(clock.nowMillis(), clock.wallMillis())
        return link.postJson(
            PATH,
            report,
            ProxyReport.serializer(),
            ProxyReportAnswer.serializer(),
            TIMEOUT_MILLIS,
            transferMillis = TRANSFER_MILLIS,
        ).mapBoth(
            success = { ReportMessage.ReplyReceived(source, sentAt, ClockReading(clock.nowMillis(), clock.wallMillis()), it) },
            failure = { ReportMessage.RequestFailed(source, it) },
        )
    }

    private fun reportOf(view: ProxyView) = ProxyReport(
        vm = vm,
        tableVersion = view.table?.version ?: 0,
        controlTerm = view.controlTerm,
        directoryRevision = view.directoryRevision,
        demand = demand.current(),
        instances = if (maySendToNewLeader(view)) view.directory.records.values.toList() else emptyList(),
        proxies = if (view.isFleetKnown) view.proxies else 0,
        unreachable = unreachablePrimaries,
        designationRevision = view.designations.revision,
        probed = probes.current().values.filter { it.isProbed }.mapNotNull { it.primary }.toSet(),
        positions = positionsFor(view),
        evacuationRevision = view.evacuations.revision,
    )

    // Only positions that this daemon learned itself, and only with times on the clock of the leader that receives them.
    private fun positionsFor(view: ProxyView): Map<GroupId, SharedPosition> {
        val leaderClock = view.leaderClock?.takeIf { it.controlTerm == view.controlTerm } ?: return emptyMap()
        val samples = probes.current().mapNotNull { (group, status) -> status.ownSample?.let { group to it } }
        return samples.filter { (_, sample) -> clock.nowMillis() - sample.askedMillis < MAX_SHARED_AGE_MILLIS }
            .associate { (group, sample) -> group to SharedPosition(sample.position, leaderClock.toLeader(sample.askedMillis)) }
    }

    // The next report may reach a new leader, which does not have the directory of the old one yet.
    private fun maySendToNewLeader(view: ProxyView): Boolean = failures > 0 || lastReplyTerm != view.controlTerm

    internal companion object {
        const val PATH = "/internal/proxy/report"

        /** Time that the leader may hold a report open, plus network delay; in ms. */
        private const val TIMEOUT_MILLIS = 900L

        /** Time for a large route table over a slow link; less than keys may be used without a new confirmation. In ms. */
        private const val TRANSFER_MILLIS = 3_000L

        /** Bounded by the wait for a connection under the shortest objectives; in ms. */
        private const val RESERVE_TIMEOUT_MILLIS = 40L

        /** Interval between reports while no reply is confirmed by a majority; in ms. */
        private const val RETRY_MILLIS = 100L

        /** A VM with an older confirmation has lost the majority, so another one is tried. About the time of an election; in ms. */
        private const val MAX_CONFIRMATION_AGE_MILLIS = 1_000L

        /** Matches no directory, so that the leader replies at once. */
        private const val UNKNOWN_REVISION = -1L

        /** Older positions are not shared: other daemons have newer ones, or ask themselves. In ms. */
        private const val MAX_SHARED_AGE_MILLIS = 600L

        /** Minimum interval between reports that were not held open; in ms. */
        private const val MIN_INTERVAL_MILLIS = 200L
        private val logger = KotlinLogging.logger {}
    }
}
