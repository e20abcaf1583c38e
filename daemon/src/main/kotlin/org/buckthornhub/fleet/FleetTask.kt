package org.buckthornhub.fleet

import com.github.michaelbull.result.get
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.buckthornhub.clock.Clock
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.PeerJson
import org.buckthornhub.task.DeciderTask
import org.buckthornhub.task.startTicker

/** Owns this daemon's view of the fleet, and the links over which it gossips. */
internal class FleetTask(
    self: DaemonEntry,
    private val settings: FleetSettings,
    private val headers: Map<String, String>,
    private val links: HttpLink.Factory,
    clock: Clock,
) : DeciderTask<FleetState, FleetMessage, FleetEffect>("fleet", FleetDecider(settings), FleetState(self), clock) {
    private var openLinks: PersistentMap<String, HttpLink> = persistentMapOf()
    private lateinit var scope: CoroutineScope

    /** The newest view of the fleet. */
    val view: StateSource<FleetView> = StateSource { current().view }

    override suspend fun onStart(scope: CoroutineScope) {
        this.scope = scope
        scope.startTicker(this, settings.probeMillis, FleetMessage.Tick)
    }

    override suspend fun handle(message: FleetMessage) {
        super.handle(message)
        if (message is FleetMessage.Tick) closeUnused()
    }

    override suspend fun carryOut(effect: FleetEffect) {
        when (effect) {
            is FleetEffect.Probe -> probe(effect, linkTo(effect.address))
            is FleetEffect.ProbeIndirectly -> probeThrough(effect, effect.relays.map { linkTo(it) })
            is FleetEffect.Reply -> effect.exchange.complete(effect.body)
        }
    }

    override fun onEnd(): Unit = openLinks.values.forEach { it.close() }

    private fun probe(effect: FleetEffect.Probe, link: HttpLink) {
        val body = PeerJson.encodeToString(GossipBody.serializer(), effect.body)
        scope.launch {
            val answer = exchange(link, GossipRoutes.PROBE_PATH, body, PROBE_TIMEOUT_MILLIS)
            val vm = effect.vm
            if (answer != null) {
                offer(FleetMessage.Acknowledged(answer))
            } else if (vm != null) {
                offer(FleetMessage.ProbeFailed(vm))
            }
        }
    }

    private fun probeThrough(effect: FleetEffect.ProbeIndirectly, relays: List<HttpLink>) {
        val body = PeerJson.encodeToString(RelayBody.serializer(), RelayBody(effect.address, effect.body))
        scope.launch {
            val answers = coroutineScope {
                relays.map { async { exchange(it, GossipRoutes.RELAY_PATH, body, RELAY_TIMEOUT_MILLIS) } }.awaitAll()
            }
            val answer = answers.firstOrNull { it != null }
            offer(if (answer != null) FleetMessage.Acknowledged(answer) else FleetMessage.IndirectProbesFailed(effect.vm))
        }
    }

    private suspend fun exchange(link: HttpLink, path: String, body: String, timeoutMillis: Long): GossipBody? =
        link.post(path, body, timeoutMillis, headers).get()?.takeIf { it.isSuccess }?.let { decode(it) }

    private fun decode(reply: HttpReply): GossipBody? = try {
        PeerJson.decodeFromString(GossipBody.serializer(), reply.body)
    } catch (e: IllegalArgumentException) {
        null
    }

    private fun linkTo(address: String): HttpLink =
        openLinks[address] ?: links.open(address).also { openLinks = openLinks.put(address, it) }

    // Links to daemons that have left would accumulate over the days.
    private fun closeUnused() {
        val used = current().view.daemons.values.map { it.address } + settings.seeds
        openLinks.keys.filter { it !in used }.forEach { address ->
            openLinks.getValue(address).close()
            openLinks = openLinks.remove(address)
        }
    }

    private companion object {
        const val PROBE_TIMEOUT_MILLIS = 300L
        const val RELAY_TIMEOUT_MILLIS = 400L
    }
}
