package org.buckthornhub.peer

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CoroutineScope
import org.buckthornhub.clock.Clock
import org.buckthornhub.control.ReplicatedView
import org.buckthornhub.fleet.DaemonEntry
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.VmId
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.http.HttpFailure
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.HttpRequest
import org.buckthornhub.target.FakeTarget
import org.buckthornhub.target.GatewayTask
import org.buckthornhub.target.HttpTargetDriver
import org.buckthornhub.target.OwnedTargetGateway
import org.buckthornhub.target.OwnerEnvironment
import org.buckthornhub.target.TargetGateway
import org.buckthornhub.target.owner.OwnerLimits
import org.buckthornhub.target.owner.OwnerLocator
import org.buckthornhub.target.owner.WriteAcknowledgement

/**
 * An entry daemon, the owner of a target, and the target, connected by links that record all requests.
 *
 * @param alterReply alters the replies of the owner
 */
internal class TwoDaemons(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val alterReply: (HttpReply) -> Result<HttpReply, HttpFailure> = { Ok(it) },
) {
    private val entry = FakeTarget.entry("p")
    private val authority = PeerAuthenticator("secret-of-the-fleet")
    private val view =
        FleetView(
            daemons =
            listOf("entry" to "b", "owner" to "a").fold(persistentMapOf()) { all, (vm, zone) ->
                all.put(VmId(vm), DaemonEntry(VmId(vm), ZoneId(zone), "127.0.0.1:2", incarnation = 1))
            },
            targets = persistentMapOf(entry.target to entry),
        )
    val target = FakeTarget(entry)
    val targetLink = RecordingLink { path, body, _ -> target.answer(path, body) }
    private val environment =
        OwnerEnvironment(
            self = VmId("owner"),
            clock = clock,
            view = { view },
            authority = { found, _ -> found.term },
            drivers = { HttpTargetDriver(it, targetLink) },
            replicated = { ReplicatedView() },
            samples = { _, _ -> persistentListOf() },
        )
    private val own = GatewayTask(environment, OwnerLimits(acknowledgement = WriteAcknowledgement.PRIMARY))
    private val routes = ForwardRoutes(own, authority, clock).routes().associateBy { it.path }
    val peerLink = RecordingLink { path, body, headers -> reply(path, body, headers) }
    private val peers = PeerTask({ view }, { peerLink }, authority, clock)
    private val locator = OwnerLocator(VmId("entry"), { view }, { ReplicatedView() }) { _, _ -> VmId("owner") }

    /** Gateway of the entry daemon. */
    val gateway: TargetGateway = OwnedTargetGateway(VmId("entry"), { view }, locator, { error("the entry daemon owns nothing") }, peers)

    fun start() {
        own.start(scope)
        peers.start(scope)
    }

    private suspend fun reply(path: String, body: String, headers: Map<String, String>): Result<HttpReply, HttpFailure> {
        val request = HttpRequest("POST", path, emptyMap(), emptyMap(), headers.mapKeys { it.key.lowercase() }, body)
        return alterReply(routes.getValue(path).handler.handle(request))
    }
}
