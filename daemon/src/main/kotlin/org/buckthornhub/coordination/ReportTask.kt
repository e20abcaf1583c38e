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
import org.buckthornhub.http.HttpLink
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.peer.OpenLinks
import org.buckthornhub.peer.ask
import org.buckthornhub.quota.DemandReport
import org.buckthornhub.quota.ReserveSource
import org.buckthornhub.target.TargetId
import org.buckthornhub.task.Task

/** Reports to the control quorum without pause, and publishes what it answers. */
internal class ReportTask(
    private val vm: VmId,
    private val addressOf: (VmId) -> String,
    links: HttpLink.Factory,
    private val demand: StateSource<DemandReport>,
    private val unreachable: Flow<Set<TargetId>>,
    private val clock: Clock,
) : Task<ReportMessage>("report"),
    ReserveSource {
    private val published = MutableStateFlow(ProxyView())
    private var introducers: List<VmId> = emptyList()
    private val controlLinks = OpenLinks(links)
    private var silentLeaders: Set<TargetId> = emptySet()
    private var failures = 0
    private var answeredTerm = 0L
    private lateinit var scope: CoroutineScope

    val view: StateFlow<ProxyView> get() = published

    override suspend fun draw(organisation: OrganisationId, tokens: Int): Int? {
        val answer = CompletableDeferred<ReserveGrant?>()
        return if (offer(ReportMessage.Draw(ReserveRequest(organisation, tokens), answer))) answer.await()?.tokens else null
    }

    override suspend fun onStart(scope: CoroutineScope) {
        this.scope = scope
        scope.launch { unreachable.collect { offer(ReportMessage.Unreachable(it)) } }
        offer(ReportMessage.Ask)
    }

    override suspend fun handle(message: ReportMessage): Unit = when (message) {
        is ReportMessage.Introducers -> introducers = message.vms
        is ReportMessage.Unreachable -> unreachable(message.targets)
        is ReportMessage.Ask -> ask()
        is ReportMessage.Answered -> answered(message)
        is ReportMessage.Failed -> failed(message)
        is ReportMessage.Draw -> draw(message)
    }

    override fun onEnd(): Unit = controlLinks.close()

    // The question that is open now was asked without this, and may be held back for some time yet.
    private fun unreachable(targets: Set<TargetId>) {
        if (targets == silentLeaders) return
        silentLeaders = targets
        logger.info { "leaders that give no answer: $targets" }
        val source = published.value.controlVms.firstOrNull() ?: return
        val (link, report) = controlLinks.to(addressOf(source)) to reportOf(published.value).copy(directoryRevision = NO_REVISION)
        scope.launch { exchange(source, link, report) }
    }

    private fun answered(message: ReportMessage.Answered) {
        val before = published.value
        val after = ProxyViews.after(before, message.from, message.asked, message.news)
        published.value = after
        answeredTerm = message.news.controlTerm
        if (after.table !== before.table) logger.info { "route table ${after.table?.version} is in force, from control VM ${message.from}" }
        val ageMillis = message.news.ageMillis
        val isUnproven = ageMillis == null || ageMillis > STALE_MILLIS
        if (isUnproven && failures == 0) {
            logger.warn { "control VM ${message.from} has heard no majority for $ageMillis ms; asking the next one" }
        }
        if (!isUnproven && failures > 0) logger.info { "control VM ${message.from} answers for a majority again, after $failures others" }
        failures = if (isUnproven) failures + 1 else 0
        // A VM that does not lead answers at once; only the leader holds the question back.
        val pause = if (message.news.instances == null && message.news.heldMillis < SHORTEST_MILLIS) SHORTEST_MILLIS else 0
        askAfter(if (isUnproven) RETRY_MILLIS else pause)
    }

    private fun failed(message: ReportMessage.Failed) {
        if (failures == 0) logger.warn { "control VM ${message.from} gives no answer: ${message.detail}; asking the next one" }
        failures += 1
        askAfter(RETRY_MILLIS)
    }

    private fun askAfter(millis: Long) {
        scope.launch {
            delay(millis)
            offer(ReportMessage.Ask)
        }
    }

    private fun ask() {
        val sources = (published.value.controlVms + introducers).distinct()
        if (sources.isEmpty()) return askAfter(RETRY_MILLIS)
        val source = sources[failures % sources.size]
        val link = controlLinks.to(addressOf(source))
        val report = reportOf(published.value)
        scope.launch { offer(exchange(source, link, report)) }
    }

    private fun draw(message: ReportMessage.Draw) {
        val source = published.value.controlVms.firstOrNull()
        if (source == null) {
            message.answer.complete(null)
            return
        }
        val link = controlLinks.to(addressOf(source))
        scope.launch {
            val grant = link.ask(ReserveRoutes.PATH, message.request, ReserveRequest.serializer(), ReserveGrant.serializer(), DRAW_MILLIS)
            message.answer.complete(
                grant.getOrElse { detail ->
                    logger.debug { "no tokens from control VM $source: $detail" }
                    null
                },
            )
        }
    }

    private suspend fun exchange(source: VmId, link: HttpLink, report: ProxyReport): ReportMessage {
        val asked = FreshProof(clock.nowMillis(), clock.wallMillis())
        return link.ask(PATH, report, ProxyReport.serializer(), ProxyReportAnswer.serializer(), TIMEOUT_MILLIS).mapBoth(
            success = { ReportMessage.Answered(source, asked, it) },
            failure = { ReportMessage.Failed(source, it) },
        )
    }

    private fun reportOf(view: ProxyView) = ProxyReport(
        vm = vm,
        tableVersion = view.table?.version ?: 0,
        controlTerm = view.controlTerm,
        directoryRevision = view.directoryRevision,
        demand = demand.current(),
        instances = if (mayBeElectedNow(view)) view.directory.records.values.toList() else emptyList(),
        proxies = if (view.shares.isEmpty()) 0 else view.proxies,
        unreachable = silentLeaders,
    )

    // Whoever is asked next may not be the leader whose directory this daemon has.
    private fun mayBeElectedNow(view: ProxyView): Boolean = failures > 0 || answeredTerm != view.controlTerm

    internal companion object {
        const val PATH = "/internal/proxy/report"

        /** Time that the leader may hold a question back, and some for the way; in ms. */
        private const val TIMEOUT_MILLIS = 900L

        /** An operation waits for tokens no longer than for a connection at the shortest objectives; in ms. */
        private const val DRAW_MILLIS = 40L

        /** Between two questions while none is answered for a majority; in ms. */
        private const val RETRY_MILLIS = 100L

        /** A VM whose proof is older hears no majority any more, so another one is asked; an election takes as long. In ms. */
        private const val STALE_MILLIS = 1_000L

        /** Asks for an answer at once. */
        private const val NO_REVISION = -1L

        /** Shortest time between two questions that were not held back; in ms. */
        private const val SHORTEST_MILLIS = 200L
        private val logger = KotlinLogging.logger {}
    }
}
