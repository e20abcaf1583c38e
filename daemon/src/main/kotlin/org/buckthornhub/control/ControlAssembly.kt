package org.buckthornhub.control

import com.github.michaelbull.result.getOrElse
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.CoroutineScope
import org.buckthornhub.clock.Clock
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.fleet.VmId
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.PeerJson
import org.buckthornhub.http.Route
import org.buckthornhub.organisation.Configuration
import org.buckthornhub.organisation.KeyRecord
import org.buckthornhub.organisation.OperatorRoutes
import org.buckthornhub.organisation.RefuseStaleInterceptor
import org.buckthornhub.organisation.WithdrawalBroadcast
import org.buckthornhub.organisation.WithdrawalRoutes
import org.buckthornhub.peer.PeerAuthenticator
import org.buckthornhub.replication.PeerMessage
import org.buckthornhub.replication.ReplicationMessage
import org.buckthornhub.replication.ReplicationSettings
import org.buckthornhub.replication.ReplicationState
import org.buckthornhub.replication.RunId
import org.buckthornhub.settings.Settings
import org.buckthornhub.task.Mailbox
import org.buckthornhub.text.UnicodeText
import java.io.File
import java.util.UUID

/**
 * Builds the components of a daemon that replicate the control state: as a member of the control quorum, or through its feed.
 *
 * @param onWithdrawn receives the keys that were just withdrawn, so that open work of their callers can be ended
 */
internal class ControlAssembly(
    private val settings: Settings,
    authority: PeerAuthenticator,
    links: HttpLink.Factory,
    private val clock: Clock,
    fleet: StateSource<FleetView>,
    onWithdrawn: Mailbox<Set<KeyRecord>>,
) {
    private val control = settings.control
    private val folder = control.dataFolder?.let { File(it) }
    private val memberLinks: Map<VmId, MemberLinkTask> =
        (control.members - settings.vm).mapValues { (_, address) -> MemberLinkTask(address, links, authority) { receive(it) } }
    private val memberTask: ControlTask? = if (settings.vm in control.members) openMember() else null

    /** Control log for the deciders that run on the control leader; null unless this is a control VM. */
    val log: ControlLog? = memberTask
    val client: ControlClient = HttpControlClient(control.members, links, authority, clock)
    private val commands = ControlCommands(client)
    private val feed =
        FeedTask(initialFeed(), { zonePeers(fleet.current()) }, commands, links, authority, WithdrawnKeysFile(folder), onWithdrawn, clock)
    val view: StateSource<ReplicatedView> = StateSource { feed.view() }
    val configuration: StateSource<Configuration> = StateSource { feed.current().configuration }
    val refuseStale: RefuseStaleInterceptor =
        RefuseStaleInterceptor(view, clock, control.refuseKeysAfterMillis.takeIf { control.members.isNotEmpty() })
    private val broadcast = WithdrawalBroadcast(settings, feed, fleet, commands, links, authority)
    val routes: List<Route> =
        FeedRoutes(memberTask ?: feed, feed, authority, clock).routes() +
            memberTask?.let { ControlRoutes(it, authority).routes() }.orEmpty() +
            WithdrawalRoutes(settings, feed, authority).routes() +
            OperatorRoutes(control.operatorSecret, configuration, commands, broadcast).routes()

    /** Returns whether this daemon has received a configuration confirmed by a majority. */
    fun isReady(): Boolean = view.current().freshMillis != null

    fun start(scope: CoroutineScope) {
        memberLinks.values.forEach { it.start(scope) }
        memberTask?.start(scope)
        feed.start(scope)
    }

    private fun receive(message: PeerMessage) {
        memberTask?.offer(ControlMessage.Replicate(ReplicationMessage.Received(message)))
    }

    private fun openMember(): ControlTask {
        val folder = checkNotNull(folder) { "a control VM needs control.data_folder" }
        val opened = FolderStorage.open(folder, settings.vm).getOrElse { error(it.detail) }
        val replication =
            ReplicationSettings(
                vms = control.members.keys,
                heartbeatMillis = control.heartbeatMillis,
                electionMillis = control.electionMillis,
            )
        val seed = clock.wallMillis() xor settings.vm.hashCode().toLong()
        val run = RunId(UUID.randomUUID().toString())
        val state = ReplicationState(opened.self, replication, seed, run, opened.state, resumedAtMillis = clock.nowMillis())
        return ControlTask(state, opened.storage, { memberLinks[it] }, clock)
    }

    // Without a control quorum, the daemon uses the configuration from its file.
    private fun initialFeed(): FeedState {
        if (control.members.isNotEmpty()) return FeedState(orderedSourcesOf(settings).toPersistentList())
        val path = settings.initialConfiguration
        val configuration =
            if (path == null) Configuration() else PeerJson.decodeFromString(Configuration.serializer(), UnicodeText.read(File(path)))
        return FeedState(view = ReplicatedView(ControlState(configuration), clock.nowMillis()), configuration = configuration)
    }

    // Spreads the load: each daemon starts with a different control VM, and a control VM starts with itself.
    private fun orderedSourcesOf(settings: Settings): List<String> {
        val members = control.members.entries.toList()
        val own = members.indexOfFirst { it.key == settings.vm }
        val first = if (own >= 0) own else Math.floorMod(settings.vm.value.hashCode(), maxOf(members.size, 1))
        return (members.drop(first) + members.take(first)).map { it.value }
    }

    private fun zonePeers(view: FleetView): List<String> =
        view.liveDaemonsOf(settings.zone).filter { it.vm != settings.vm }.map { it.address }
}
