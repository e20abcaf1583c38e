package org.buckthornhub.load.run

import com.github.michaelbull.result.get
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import org.buckthornhub.clock.Clock
import org.buckthornhub.http.HttpLink
import org.buckthornhub.load.check.Evidence
import org.buckthornhub.load.history.FaultMark
import org.buckthornhub.load.history.HistoryMessage
import org.buckthornhub.load.history.HistoryTask
import org.buckthornhub.load.session.CallerLink
import org.buckthornhub.load.session.ClientSession
import org.buckthornhub.load.session.DirectLink
import org.buckthornhub.load.session.ProxyLink
import org.buckthornhub.load.session.SessionPlan
import kotlin.random.Random

/** Runs a [LoadPlan] and gathers the evidence for the checks; [progress] is told what happens. */
public class LoadRun(
    private val plan: LoadPlan,
    private val links: HttpLink.Factory,
    private val clock: Clock,
    private val progress: (String) -> Unit = {},
) {
    private val history = HistoryTask()

    public suspend fun run(): Evidence = coroutineScope {
        val collector = history.start(this)
        val daemons = plan.daemons.map { it to links.open(it) }
        val endMillis = clock.nowMillis() + plan.durationMillis
        val sessions = plan.sessions.mapIndexed { index, session -> launch { sessionOf(session, index, daemons).run(endMillis) } }
        val faults = plan.faults.map { launchFault(it) }
        sessions.joinAll()
        faults.forEach { it.cancel() }
        daemons.forEach { (_, link) -> link.close() }
        val collected = history.take()
        collector.cancel()
        Evidence(collected, LogReader(links).read(plan.standIns), plan.rights)
    }

    private fun sessionOf(session: SessionPlan, index: Int, daemons: List<Pair<String, HttpLink>>): ClientSession {
        val random = Random(plan.seed * SEED_FACTOR + index)
        val link = if (plan.direct) directLink(daemons, index) else proxyLink(session, daemons, random)
        return ClientSession(session, link, clock, random) { history.record(HistoryMessage.Ended(it)) }
    }

    private fun proxyLink(session: SessionPlan, daemons: List<Pair<String, HttpLink>>, random: Random): CallerLink =
        ProxyLink(daemons, plan.keys[session.organisation], plan.clientDelayMillis, plan.deadlineMillis, random, clock)

    private fun directLink(daemons: List<Pair<String, HttpLink>>, index: Int): CallerLink {
        val (address, link) = daemons[index % daemons.size]
        return DirectLink(address, link, clock)
    }

    private fun CoroutineScope.launchFault(order: FaultOrder) = launch {
        delay(order.afterMillis)
        val atMillis = clock.nowMillis()
        val reply = links.open(order.address).use { it.post(order.path, order.fault.toString(), FAULT_TIMEOUT_MILLIS).get() }
        check(reply != null && reply.isSuccess) { "fault ${order.label} was refused by ${order.address}" }
        progress("fault: ${order.label}")
        history.record(HistoryMessage.Marked(FaultMark(atMillis, order.group, order.label, order.killsPrimary)))
    }

    private companion object {
        const val SEED_FACTOR = 1_000_003L
        const val FAULT_TIMEOUT_MILLIS = 2_000L
    }
}
