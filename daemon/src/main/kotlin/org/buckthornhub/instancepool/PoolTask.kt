package org.buckthornhub.instancepool

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.launch
import org.buckthornhub.clock.Clock
import org.buckthornhub.connection.TargetLink
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.target.TargetId
import org.buckthornhub.task.Task
import org.buckthornhub.task.startTicker

/** Owns the connections to instances and lends them to sessions. */
internal class PoolTask(
    settings: PoolSettings,
    private val links: TargetLink.Factory,
    private val clock: Clock,
) : Task<PoolCommand>("pool"),
    StateSource<PoolState> {
    private val decider = PoolDecider(settings)
    private val published = MutableStateFlow(PoolState())
    private var open: PersistentMap<ConnectionId, TargetLink> = persistentMapOf()
    private var asking: PersistentMap<Long, PoolCommand.Acquire> = persistentMapOf()
    private var nextTicket = 0L
    private lateinit var scope: CoroutineScope

    override fun current(): PoolState = published.value

    /** Lends a connection, or answers `NO_PRIMARY` or `QUEUE_FULL` once [deadlineMillis] has passed. */
    suspend fun acquire(request: ConnectionRequest, deadlineMillis: Long): Result<TargetLease, ProxyError> {
        val answer = CompletableDeferred<Result<TargetLease, ProxyError>>()
        if (!offer(
                PoolCommand.Acquire(request, clock.nowMillis(), deadlineMillis, answer),
            )
        ) {
            return Err(ProxyError(ErrorKind.QUEUE_FULL, "the pool is overloaded"))
        }
        var isTaken = false
        try {
            return answer.await().also { isTaken = true }
        } finally {
            // The session may have ended while its connection was on its way.
            if (!isTaken) answer.invokeOnCompletion { if (it == null) answer.getCompleted().get()?.giveBack() }
        }
    }

    /** Tells that [target] refused to lead. */
    fun demote(target: TargetId) {
        offer(PoolCommand.Decide(PoolMessage.Demoted(target)))
    }

    override suspend fun onStart(scope: CoroutineScope) {
        this.scope = scope
        scope.startTicker(this, TICK_MILLIS, PoolCommand.Decide(PoolMessage.Tick))
    }

    override suspend fun handle(message: PoolCommand): Unit = when (message) {
        is PoolCommand.Decide -> decide(message.message)
        is PoolCommand.Acquire -> acquire(message)
        is PoolCommand.LinkOpened -> {
            open = open.put(message.connection, message.link)
            decide(message.message)
        }
    }

    override fun onEnd(): Unit = open.values.forEach { it.close() }

    private fun acquire(message: PoolCommand.Acquire) {
        asking = asking.put(++nextTicket, message)
        val waiting = PendingConnectionRequest(nextTicket, message.request, message.askedMillis, message.deadlineMillis)
        decide(PoolMessage.Acquire(waiting))
        if (nextTicket in asking) {
            lookAgainAt(waiting.sinceMillis + PoolDecider.EVICTION_DELAY_MILLIS)
            lookAgainAt(waiting.deadlineMillis)
        }
    }

    private fun lookAgainAt(millis: Long) {
        scope.launch {
            delay(millis - clock.nowMillis())
            offer(PoolCommand.Decide(PoolMessage.Tick))
        }
    }

    private fun decide(message: PoolMessage) {
        if (message is PoolMessage.Closed) close(message.connection)
        val decision = decider.decide(published.value, message, clock.nowMillis())
        published.value = decision.state
        decision.effects.forEach { carryOut(it) }
    }

    private fun close(connection: ConnectionId) {
        open[connection]?.close()
        open = open.remove(connection)
    }

    private fun carryOut(effect: PoolEffect): Unit = when (effect) {
        is PoolEffect.Open -> {
            scope.launch { connect(effect) }
            Unit
        }
        is PoolEffect.Close -> close(effect.connection)
        is PoolEffect.CheckOut -> checkOut(effect)
        is PoolEffect.Refuse -> answer(effect.ticket, Err(refusal(effect)))
    }

    private fun checkOut(effect: PoolEffect.CheckOut) {
        val link = open[effect.connection.id]?.takeIf { it.isOpen }
        val waitedMillis = asking[effect.ticket]?.let { clock.nowMillis() - it.askedMillis } ?: 0
        val lease = link?.let { TargetLease(effect.connection, effect.instance, waitedMillis, it, this) }
        val result = lease?.let { Ok(it) } ?: Err(ProxyError(ErrorKind.NO_TARGET, "the connection to ${effect.instance.target} ended"))
        answer(effect.ticket, result)
        if (lease == null) offer(PoolCommand.Decide(PoolMessage.Released(effect.connection.id, effect.connection.target, null, null)))
    }

    private fun answer(ticket: Long, result: Result<TargetLease, ProxyError>) {
        asking[ticket]?.answer?.complete(result)
        asking = asking.remove(ticket)
    }

    private fun refusal(effect: PoolEffect.Refuse): ProxyError {
        val group = asking[effect.ticket]?.request?.group
        return if (effect.hasNoPrimary) {
            ProxyError(ErrorKind.NO_PRIMARY, "no instance of group $group is known to lead", retryAfterMillis = LEADERLESS_RETRY_MILLIS)
        } else {
            ProxyError(ErrorKind.QUEUE_FULL, "no connection to group $group became free in time", retryAfterMillis = BUSY_RETRY_MILLIS)
        }
    }

    private suspend fun connect(effect: PoolEffect.Open) {
        val target = effect.instance.target
        val onEnd: () -> Unit = { offer(PoolCommand.Decide(PoolMessage.Closed(effect.connection, target))) }
        val link = links.open(effect.instance, effect.organisation, CONNECT_TIMEOUT_MILLIS, onEnd).getOrElse { failure ->
            logger.debug { "no connection to $target at ${effect.instance.address}: ${failure.detail}" }
            report(PoolCommand.Decide(PoolMessage.OpenFailed(effect.connection, target)))
            return
        }
        report(PoolCommand.LinkOpened(effect.connection, link, PoolMessage.Opened(effect.connection, target, link.position)))
    }

    private companion object {
        /** How soon an instance is tried again after the pause that follows a failed connect; in ms. */
        const val TICK_MILLIS = 50L

        /** A connection takes 12 ms and a slot; a dark instance must not hold a session up for long. In ms. */
        const val CONNECT_TIMEOUT_MILLIS = 500L

        /** A promotion takes some hundred ms. */
        const val LEADERLESS_RETRY_MILLIS = 500L

        /** A few statements take this long. */
        const val BUSY_RETRY_MILLIS = 100L
        val logger = KotlinLogging.logger {}
    }
}
