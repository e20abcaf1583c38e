package org.buckthornhub.lease

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.buckthornhub.clock.SystemClock
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Term
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.HttpLinks
import kotlin.system.exitProcess

/**
 * Measures the time without any lease after a fault of the primary, over real sockets.
 *
 * Arguments: first port of the daemons, first port of a running stand-in group, rounds. The control log is of one VM in
 * memory, so that the commit costs nothing here.
 */
internal object FailoverBench {
    private const val CONTROL_NAME = "vm-a"
    private val group = GroupId("bench")
    private val zones = listOf("a", "b", "c")

    @JvmStatic
    fun main(arguments: Array<String>): Unit = runBlocking {
        val (daemonPort, targetPort, rounds) = arguments.map { it.toInt() }
        val log = SoleControlLog(SystemClock)
        coroutineScope {
            val nodes = zones.mapIndexed { index, zone ->
                LeaseNode(
                    "vm-$zone",
                    zone,
                    daemonPort + index,
                    daemonPort,
                    log,
                    "vm-$zone" == CONTROL_NAME,
                )
            }
            nodes.forEach { it.start(this) }
            listOf("killed", "cut_off", "silent").forEach { fault ->
                val gaps = List(rounds) { round(fault, nodes, log, targetPort) }.sorted()
                println("$fault: n=${gaps.size} min=${gaps.first()} median=${gaps[gaps.size / 2]} max=${gaps.last()} ms: $gaps")
            }
            exitProcess(0)
        }
    }

    private suspend fun round(fault: String, nodes: List<LeaseNode>, log: SoleControlLog, targetPort: Int): Long {
        until { holder(nodes) != null && isSettled(nodes, log) }
        val before = log.state.current().leaderships.getValue(group)
        val port = targetPort + before.primary.value.last().digitToInt() - 1
        delay(SETTLE_MILLIS)
        HttpLinks.open("127.0.0.1:${targetPort + zones.size}").use { link ->
            val index = port - targetPort + 1
            val startMillis = SystemClock.nowMillis()
            inject(link, index, "{\"type\":\"$fault\"}")
            until { (holder(nodes) ?: before.term) > before.term }
            val gap = SystemClock.nowMillis() - startMillis
            inject(link, index, "{\"type\":\"${if (fault == "killed") "restarted" else "healed"}\"}")
            return gap
        }
    }

    private suspend fun inject(link: HttpLink, index: Int, body: String) {
        val reply = link.post("/instances/$index/faults", body, TIMEOUT_MILLIS)
        check(reply.component1()?.isSuccess ?: false) { "fault refused: $reply" }
    }

    private fun holder(nodes: List<LeaseNode>): Term? =
        nodes.mapNotNull { it.leases.leases.current().termForNewWrite(group, SystemClock.nowMillis()) }.maxOrNull()

    private fun isSettled(nodes: List<LeaseNode>, log: SoleControlLog): Boolean {
        val term = log.state.current().leaderships[group]?.term
        val targets = nodes.first().fleet.view.current().targetsOf(group)
        return targets.size == zones.size && targets.all { it.term == term && SystemClock.nowMillis() - it.announcedMillis < FRESH_MILLIS }
    }

    private suspend fun until(condition: () -> Boolean) {
        val limitMillis = SystemClock.nowMillis() + LIMIT_MILLIS
        while (!condition()) {
            check(SystemClock.nowMillis() < limitMillis) { "waited $LIMIT_MILLIS ms in vain" }
            delay(1)
        }
    }

    private const val LIMIT_MILLIS = 30_000L
    private const val TIMEOUT_MILLIS = 2_000L
    private const val SETTLE_MILLIS = 1_000L
    private const val FRESH_MILLIS = 3_000L
}
