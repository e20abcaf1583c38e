package org.buckthornhub.organisation

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.buckthornhub.control.CommandOutcome
import org.buckthornhub.control.ControlCommand
import org.buckthornhub.control.ControlCommands
import org.buckthornhub.control.FeedMessage
import org.buckthornhub.control.FeedTask
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.PeerJson
import org.buckthornhub.peer.PeerAuthenticator
import org.buckthornhub.settings.Settings

/** Withdraws a key on this daemon, on every reachable daemon, and in the control quorum if it has a majority. */
internal class WithdrawalBroadcast(
    private val settings: Settings,
    private val feed: FeedTask,
    private val fleet: StateSource<FleetView>,
    private val commands: ControlCommands,
    private val links: HttpLink.Factory,
    private val authority: PeerAuthenticator,
) {
    suspend fun withdraw(keyName: String): Result<WithdrawalReport, ProxyError> = coroutineScope {
        feed.withdraw(setOf(keyName))
        val recording = async { commands.commit(ControlCommand.WithdrawKey(keyName)) }
        val others = addresses()
        val answers = others.map { (daemon, address) -> async { daemon to confirm(address, keyName) } }.awaitAll()
        val outcome = recording.await()
        if (outcome.get() is CommandOutcome.Invalid) {
            feed.offer(FeedMessage.WithdrawalRejected(setOf(keyName)))
            return@coroutineScope Err(ProxyError(ErrorKind.LIST_INVALID, "no key named $keyName exists"))
        }
        val self = DaemonName(settings.vm, settings.zone)
        val (confirmed, unconfirmed) = answers.partition { it.second != null }
        Ok(
            WithdrawalReport(
                keyName = keyName,
                recorded = outcome.isOk,
                detail = outcome.getError()?.detail,
                confirmed = listOf(self) + confirmed.map { it.second ?: it.first },
                unconfirmed = unconfirmed.map { it.first },
                unconfirmedZones = unconfirmed.mapNotNull { it.first.zone }.distinct(),
            ),
        )
    }

    // A daemon considered dead may only be partitioned, so it is included as well.
    private fun addresses(): List<Pair<DaemonName, String>> {
        val known = fleet.current().daemons.values.filter { it.vm != settings.vm }.map { DaemonName(it.vm, it.zone) to it.address }
        val vms = known.map { it.first.vm }.toSet() + settings.vm
        return known + settings.control.members.filterKeys { it !in vms }.map { (vm, address) -> DaemonName(vm) to address }
    }

    private suspend fun confirm(address: String, keyName: String): DaemonName? {
        val body = PeerJson.encodeToString(WithdrawalBody.serializer(), WithdrawalBody(setOf(keyName)))
        val reply = links.open(address).use { it.post(WithdrawalRoutes.PATH, body, TIMEOUT_MILLIS, authority.headers()) }
        return reply.get()?.takeIf { it.isSuccess }?.let { PeerJson.decodeFromString(DaemonName.serializer(), it.body) }
    }

    private companion object {
        const val TIMEOUT_MILLIS = 1_500L
    }
}
