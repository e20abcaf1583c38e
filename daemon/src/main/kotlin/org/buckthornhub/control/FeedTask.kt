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
import kotlinx.serialization.SerializationException
import org.buckthornhub.clock.Clock
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.PeerJson
import org.buckthornhub.organisation.KeyRecord
import org.buckthornhub.peer.OpenLinks
import org.buckthornhub.peer.PeerAuthority
import org.buckthornhub.task.DeciderTask
import org.buckthornhub.task.Mailbox
import org.buckthornhub.task.startTicker

/**
 * Owns what this daemon has of the control state, and the connections that it comes over.
 *
 * @param zonePeers addresses of the live daemons of the own zone
 */
internal class FeedTask(
    initial: FeedState,
    private val zonePeers: () -> List<String>,
    private val commands: ControlCommands,
    links: HttpLink.Factory,
    private val authority: PeerAuthority,
    private val withdrawnFile: WithdrawnFile,
    private val onWithdrawn: Mailbox<Set<KeyRecord>>,
    clock: Clock,
) : DeciderTask<FeedState, FeedMessage, FeedEffect>("feed", FeedDecider(), initial, clock),
    FeedSource {
    private val latest = MutableStateFlow(current())
    private val daemons = OpenLinks(links)
    private lateinit var scope: CoroutineScope

    override fun view(): ReplicatedView = current().view

    override suspend fun awaitNewer(revision: Long) {
        latest.first { it.view.state.revision > revision }
    }

    /** Withdraws [keyNames] on this daemon; returns once no request with them passes any more. */
    suspend fun withdraw(keyNames: Set<String>) {
        offer(FeedMessage.Withdraw(keyNames))
        latest.first { state -> keyNames.all { name -> name in state.withdrawn || state.configuration.isWithdrawn(name) } }
    }

    override suspend fun onStart(scope: CoroutineScope) {
        this.scope = scope
        val stored = withContext(Dispatchers.IO) { withdrawnFile.load() }
        if (stored.isNotEmpty()) offer(FeedMessage.Withdraw(stored))
        offer(FeedMessage.Start)
        scope.startTicker(this, REMIND_MILLIS, FeedMessage.RetryRecording)
        scope.launch {
            while (isActive) {
                offer(FeedMessage.PeersChanged(zonePeers()))
                delay(PEERS_MILLIS)
            }
        }
    }

    override suspend fun handle(message: FeedMessage) {
        super.handle(message)
        latest.value = current()
    }

    override suspend fun carryOut(effect: FeedEffect) {
        when (effect) {
            is FeedEffect.Fetch -> scope.launch { ask(effect) }
            is FeedEffect.SaveWithdrawn -> withContext(Dispatchers.IO) { withdrawnFile.save(effect.keyNames) }
            is FeedEffect.KeysWithdrawn -> onWithdrawn.offer(effect.keys)
            is FeedEffect.RecordWithdrawn -> scope.launch { effect.keyNames.forEach { record(it) } }
        }
    }

    override fun onEnd(): Unit = daemons.close()

    private suspend fun ask(effect: FeedEffect.Fetch) {
        delay(effect.delayMillis)
        val askedMillis = clock.nowMillis()
        val path = "${FeedRoutes.PATH}?from=${effect.from}&wait=$WAIT_MILLIS"
        val reply = daemons.to(effect.address).get(path, TIMEOUT_MILLIS, authority.headers()).get()
        val answer = reply?.takeIf { it.isSuccess }?.let { decode(it.body) }
        offer(if (answer == null) FeedMessage.Failed(effect.attempt) else FeedMessage.AnswerReceived(effect.attempt, askedMillis, answer))
    }

    private suspend fun record(keyName: String) {
        val outcome = commands.commit(ControlCommand.WithdrawKey(keyName)).get()
        if (outcome is CommandOutcome.Invalid) offer(FeedMessage.WithdrawalRejected(setOf(keyName)))
    }

    private fun decode(body: String): FeedAnswer? = try {
        PeerJson.decodeFromString(FeedAnswer.serializer(), body)
    } catch (e: SerializationException) {
        null
    }

    private companion object {
        const val WAIT_MILLIS = 500L
        const val TIMEOUT_MILLIS = 900L
        const val PEERS_MILLIS = 1_000L
        const val REMIND_MILLIS = 1_000L
    }
}
