package org.buckthornhub.instancepool

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.buckthornhub.clock.Clock
import org.buckthornhub.connection.TargetConnectFailure
import org.buckthornhub.connection.TargetLink
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.group.GroupId
import org.buckthornhub.instancepool.waiting.HoldKind
import org.buckthornhub.instancepool.waiting.RefusalReason
import org.buckthornhub.instancepool.waiting.ReturnCause
import org.buckthornhub.instancepool.waiting.WaitTerms
import org.buckthornhub.instancepool.waiting.WaitingSettings
import org.buckthornhub.target.TargetId
import org.buckthornhub.task.Task
import org.buckthornhub.task.startTicker

/** Owns the connections to instances; sessions check them out and release them. */
internal class PoolTask(
    settings: PoolSettings,
    private val links: TargetLink.Factory,
    private val clock: Clock,
    private val waiting: WaitingSettings = WaitingSettings(),
    private val observer: WaitObserver = WaitObserver.NONE,
) : Task<PoolCommand>("pool"),
    StateSource<PoolState> {
    private val decider = PoolDecider(settings, waiting)
    private val published = MutableStateFlow(PoolState())
    private var openLinks: PersistentMap<ConnectionId, TargetLink> = persistentMapOf()
    private var pending: PersistentMap<Long, PoolCommand.Acquire> = persistentMapOf()
    private var pendingReturns: PersistentMap<Long, CompletableDeferred<Long>> = persistentMapOf()
    private var nextTicket = 0L
    private lateinit var scope: CoroutineScope

    override fun current(): PoolState = published.value

    /** Whether statements wait as the measured load allows, by [acquire] with terms; otherwise until a deadline that the route sets. */
    val adaptsToLoad: Boolean get() = waiting.rejectsOnArrival

    /** Checks out a connection for a statement that may wait as [terms] allow. */
    suspend fun acquire(request: ConnectionRequest, terms: WaitTerms): Result<TargetLease, ProxyError> {
        val holdMillis = current().waits.holds.costMillis(HoldKind.of(request, terms.hasBegun), clock.nowMillis())
        return acquire(request, terms.deadlineMillis(holdMillis), terms)
    }

    /**
     * Returns the time in ms after which a caller that was refused for [cause] is to return, at most [maxMillis].
     *
     * @param kind what the caller asked for; null if its refusal concerns all groups
     */
    suspend fun returnAfter(kind: HoldKind?, cause: ReturnCause, maxMillis: Long): Long {
        val answer = CompletableDeferred<Long>()
        val isSent = offer(PoolCommand.ReturnAfter(kind, cause, maxMillis, answer))
        return (if (isSent) withTimeoutOrNull(LOST_REPLY_MILLIS) { answer.await() } else null) ?: maxMillis
    }

    /** Checks out a connection; fails with `NO_PRIMARY` or `QUEUE_FULL` once [deadlineMillis] has passed. */
    suspend fun acquire(request: ConnectionRequest, deadlineMillis: Long, terms: WaitTerms? = null): Result<TargetLease, ProxyError> {
        val answer = CompletableDeferred<Result<TargetLease, ProxyError>>()
        if (!offer(PoolCommand.Acquire(request, clock.nowMillis(), deadlineMillis, terms, answer))) {
            return Err(ProxyError(ErrorKind.QUEUE_FULL, "the connection pool accepts no more requests"))
        }
        var isReceived = false
        try {
            val result = withTimeoutOrNull(deadlineMillis - clock.nowMillis() + LOST_REPLY_MILLIS) { answer.await() }
            isReceived = result != null
            return result ?: Err(ProxyError(ErrorKind.QUEUE_FULL, "the connection pool gave no reply"))
        } finally {
            // If the session was cancelled or gave up while it waited, the connection is released as soon as the pool delivers it.
            if (!isReceived) answer.invokeOnCompletion { if (it == null) answer.getCompleted().get()?.release() }
        }
    }

    /** Reports that [target] refused a request because it is not the primary. */
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
        is PoolCommand.ReturnAfter -> {
            pendingReturns = pendingReturns.put(++nextTicket, message.reply)
            decide(PoolMessage.ReturnAsked(nextTicket, message.kind, message.cause, message.maxMillis))
        }
        is PoolCommand.LinkOpened -> {
            openLinks = openLinks.put(message.connection, message.link)
            decide(message.message)
        }
    }

    override fun onEnd(): Unit = openLinks.values.forEach { it.close() }

    private fun acquire(message: PoolCommand.Acquire) {
        pending = pending.put(++nextTicket, message)
        val bare = PendingConnectionRequest(nextTicket, message.request, message.requestedMillis, message.deadlineMillis)
        val waiting = message.terms?.let { bare.copy(hasBegun = it.hasBegun, maxReturnMillis = it.maxReturnMillis) } ?: bare
        decide(PoolMessage.Acquire(waiting))
        if (nextTicket in pending) {
            scheduleTick(waiting.sinceMillis + PoolDecider.EVICTION_DELAY_MILLIS)
            scheduleTick(waiting.deadlineMillis)
        }
    }

    private fun scheduleTick(millis: Long) {
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
        openLinks[connection]?.close()
        openLinks = openLinks.remove(connection)
    }

    private fun carryOut(effect: PoolEffect): Unit = when (effect) {
        is PoolEffect.Open -> {
            scope.launch { connect(effect) }
            Unit
        }
        is PoolEffect.Close -> close(effect.connection)
        is PoolEffect.CheckOut -> checkOut(effect)
        is PoolEffect.Refuse -> refuse(effect)
        is PoolEffect.Return -> {
            pendingReturns[effect.ticket]?.complete(effect.retryAfterMillis)
            pendingReturns = pendingReturns.remove(effect.ticket)
        }
    }

    private fun checkOut(effect: PoolEffect.CheckOut) {
        val link = openLinks[effect.connection.id]?.takeIf { it.isOpen }
        val waiting = pending[effect.ticket]
        val waitedMillis = waiting?.let { clock.nowMillis() - it.requestedMillis } ?: 0
        val priority = waiting?.request?.priority ?: 0
        val lease = link?.let { TargetLease(effect.connection, effect.instance, waitedMillis, it, this, StatementTimer(priority, clock)) }
        val result = lease?.let { Ok(it) } ?: Err(ProxyError(ErrorKind.NO_TARGET, "the connection to ${effect.instance.target} was closed"))
        if (lease != null) observer.served(waitedMillis, effect.estimatedMillis)
        complete(effect.ticket, result)
        if (lease == null) offer(PoolCommand.Decide(PoolMessage.Released(effect.connection.id, effect.connection.target, null, null)))
    }

    private fun complete(ticket: Long, result: Result<TargetLease, ProxyError>) {
        pending[ticket]?.reply?.complete(result)
        pending = pending.remove(ticket)
    }

    private fun refuse(effect: PoolEffect.Refuse) {
        val refused = pending[effect.ticket] ?: return
        val nowMillis = clock.nowMillis()
        observer.refused(refused.request.group, effect, nowMillis - refused.requestedMillis, nowMillis)
        complete(effect.ticket, Err(errorOf(effect, refused.request.group)))
    }

    private fun errorOf(effect: PoolEffect.Refuse, group: GroupId): ProxyError = when {
        effect.hasNoPrimary -> {
            val afterMillis = effect.retryAfterMillis ?: NO_PRIMARY_RETRY_MILLIS
            ProxyError(ErrorKind.NO_PRIMARY, "no primary of group $group is known", afterMillis)
        }
        else -> ProxyError(ErrorKind.QUEUE_FULL, detailOf(effect.reason, group), effect.retryAfterMillis ?: BUSY_RETRY_MILLIS)
    }

    private fun detailOf(reason: RefusalReason, group: GroupId): String = when (reason) {
        RefusalReason.EXPIRED, RefusalReason.NO_INSTANCE -> "no connection to group $group became available in time"
        RefusalReason.WAIT_TOO_LONG -> "the expected wait for a connection to group $group is too long"
        RefusalReason.QUEUE_FULL, RefusalReason.DISPLACED -> "too many statements wait for a connection to group $group"
    }

    private suspend fun connect(effect: PoolEffect.Open) {
        val target = effect.instance.target
        val onEnd: () -> Unit = { offer(PoolCommand.Decide(PoolMessage.Closed(effect.connection, target))) }
        val startedMillis = clock.nowMillis()
        val link = open(effect, onEnd).getOrElse { failure ->
            logger.debug { "failed to connect to $target at ${effect.instance.address}: ${failure.detail}" }
            report(PoolCommand.Decide(PoolMessage.OpenFailed(effect.connection, target)))
            return
        }
        val opened = PoolMessage.Opened(effect.connection, target, link.position, clock.nowMillis() - startedMillis)
        report(PoolCommand.LinkOpened(effect.connection, link, opened))
    }

    // A connection that is neither reported as opened nor as failed would count as being opened for good.
    @Suppress("TooGenericExceptionCaught")
    private suspend fun open(effect: PoolEffect.Open, onEnd: () -> Unit): Result<TargetLink, TargetConnectFailure> = try {
        links.open(effect.instance, effect.organisation, CONNECT_TIMEOUT_MILLIS, onEnd)
    } catch (e: CancellationException) {
        throw e
    } catch (e: RuntimeException) {
        logger.error(e) { "unexpected error when connecting to ${effect.instance.target} at ${effect.instance.address}" }
        Err(TargetConnectFailure("unexpected error: ${e.message}"))
    }

    private companion object {
        /** Granularity in ms of the backoff after a failed connect. */
        const val TICK_MILLIS = 50L

        /** Connecting takes 12 ms and a slot; an unreachable instance must not delay a session for long. In ms. */
        const val CONNECT_TIMEOUT_MILLIS = 500L

        /** A promotion takes a few hundred ms. */
        const val NO_PRIMARY_RETRY_MILLIS = 500L

        /** About the duration of a few statements. */
        const val BUSY_RETRY_MILLIS = 100L
        val logger = KotlinLogging.logger {}

        /** The pool refuses at the deadline, so a reply that is this late was lost to an unexpected error; in ms. */
        const val LOST_REPLY_MILLIS = 200L
    }
}
