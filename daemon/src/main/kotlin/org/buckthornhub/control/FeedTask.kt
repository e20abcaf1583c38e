package org.buckthornhub.control

import com.github.michaelbull.result.get
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.buckthornhub.clock.Clock
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.PeerJson
import org.buckthornhub.organisation.KeyRecord
import org.buckthornhub.peer.HttpLinkCache
import org.buckthornhub.peer.PeerAuthenticator
import org.buckthornhub.task.DeciderTask
import org.buckthornhub.task.Mailbox
import org.buckthornhub.task.startTicker

/**
 * Owns this daemon's copy of the control state, and the connections over which it is updated.
 *
 * @param zonePeers returns the addresses of the live daemons in the same zone
 */
internal class FeedTask(
    initial: FeedState,
    private val zonePeers: () -> List<String>,
    private val commands: ControlCommands,
    links: HttpLink.Factory,
    private val authority: PeerAuthenticator,
    private val withdrawnKeysFile: WithdrawnKeysFile,
    private val onWithdrawn: Mailbox<Set<KeyRecord>>,
    clock: Clock,
) : DeciderTask<FeedState, FeedMessage, FeedEffect>("feed", FeedDecider(), initial, clock),
    FeedSource {
    private val latest = MutableStateFlow(current())
    private val peerLinks = HttpLinkCache(links)
    private lateinit var scope: CoroutineScope

    override fun view(): ReplicatedView = current().view

    override suspend fun awaitNewer(revision: Long) {
        latest.first { it.view.state.revision > revision }
    }

    /** Withdraws [keyNames] on this daemon; returns once requests with these keys are refused. */
    suspend fun withdraw(keyNames: Set<String>) {
        offer(FeedMessage.Withdraw(keyNames))
        latest.first { state -> keyNames.all { name -> name in state.withdrawn || state.configuration.isWithdrawn(name) } }
    }

    override suspend fun onStart(scope: CoroutineScope) {
        this.scope = scope
        val stored = withContext(Dispatchers.IO) { withdrawnKeysFile.load() }
        if (stored.isNotEmpty()) offer(FeedMessage.Withdraw(stored))
        offer(FeedMessage.Start)
        scope.startTicker(this, RECORD_RETRY_MILLIS, FeedMessage.RetryRecording)
        scope.launch {
            while (isActive) {
                offer(FeedMessage.PeersChanged(zonePeers()))
                delay(PEERS_REFRESH_MILLIS)
            }
        }
    }

    override suspend fun handle(message: FeedMessage) {
        super.handle(message)
        latest.value = current()
    }

    override suspend fun carryOut(effect: FeedEffect) {
        when (effect) {
            is FeedEffect.Fetch -> scope.launch { requestFeed(effect) }
            is FeedEffect.SaveWithdrawn -> withContext(Dispatchers.IO) { withdrawnKeysFile.save(effect.keyNames) }
            is FeedEffect.KeysWithdrawn -> onWithdrawn.offer(effect.keys)
            is FeedEffect.RecordWithdrawn -> scope.launch { effect.keyNames.forEach { recordWithdrawal(it) } }
        }
    }

    override fun onEnd(): Unit = peerLinks.close()

    private suspend fun requestFeed(effect: FeedEffect.Fetch) {
        delay(effect.delayMillis)
        val askedMillis = clock.nowMillis()
        val path = "${FeedRoutes.PATH}?from=${effect.from}&wait=$WAIT_MILLIS"
        val reply = peerLinks.to(effect.address).get(path, TIMEOUT_MILLIS, authority.headers()).get()
        val answer = reply?.takeIf { it.isSuccess }?.let { decode(it.body) }
        offer(if (answer == null) FeedMessage.Failed(effect.attempt) else FeedMessage.AnswerReceived(effect.attempt, askedMillis, answer))
    }

    private suspend fun recordWithdrawal(keyName: String) {
        val outcome = commands.commit(ControlCommand.WithdrawKey(keyName)).get()
        if (outcome is CommandOutcome.Invalid) offer(FeedMessage.WithdrawalRejected(setOf(keyName)))
    }

    private fun decode(body: String): FeedAnswer? = try {
        PeerJson.decodeFromString(FeedAnswer.serializer(), body)
    } catch (e: IllegalArgumentException) {
        null
    }

    private companion object {
        const val WAIT_MILLIS = 500L
        const val TIMEOUT_MILLIS = 900L
        const val PEERS_REFRESH_MILLIS = 1_000L
        const val RECORD_RETRY_MILLIS = 1_000L
    }
}
