package org.buckthornhub.target

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.peer.SampleBody
import org.buckthornhub.statement.Answer
import org.buckthornhub.target.owner.OwnerLimits
import org.buckthornhub.target.owner.OwnerMessage
import org.buckthornhub.task.Task
import org.buckthornhub.task.startTicker

/** Runs one [TargetTask] for each target that this daemon owns, and dispatches calls to them. */
internal class GatewayTask(
    private val environment: OwnerEnvironment,
    private val limits: OwnerLimits,
) : Task<GatewayMessage>("gateway"),
    TargetGateway {
    private var targets: PersistentMap<TargetId, TargetTask> = persistentMapOf()
    private var announced: PersistentMap<TargetId, TargetEntry> = persistentMapOf()
    private lateinit var scope: CoroutineScope

    override suspend fun execute(call: TargetCall): Result<Answer, ProxyError> {
        val reply = CompletableDeferred<Result<Answer, ProxyError>>()
        if (!offer(GatewayMessage.Run(call, reply))) return Err(ProxyError(ErrorKind.QUEUE_FULL, "too many calls wait in this daemon"))
        return reply.await()
    }

    /** Returns position samples of a primary that this daemon owns; none if it owns no such target. */
    suspend fun samples(body: SampleBody): SampleAges {
        val reply = CompletableDeferred<SampleAges>()
        return if (offer(GatewayMessage.Samples(body, reply))) reply.await() else SampleAges()
    }

    override suspend fun onStart(scope: CoroutineScope) {
        this.scope = scope
        scope.startTicker(this, TICK_MILLIS, GatewayMessage.Tick)
    }

    override suspend fun handle(message: GatewayMessage) {
        when (message) {
            is GatewayMessage.Run -> run(message)
            is GatewayMessage.Samples -> samples(message)
            is GatewayMessage.EndTransactionsOf -> broadcast(OwnerMessage.EndTransactionsOf(message.organisation))
            GatewayMessage.Tick -> announceChanges()
        }
    }

    private fun run(message: GatewayMessage.Run) {
        val target = targets[message.call.target] ?: open(message.call.target)
        val isAccepted = target?.offer(TargetMessage.Run(message.call, message.reply)) ?: false
        if (!isAccepted) message.reply.complete(Err(ProxyError(ErrorKind.NO_TARGET, "target ${message.call.target} is unreachable")))
    }

    private fun samples(message: GatewayMessage.Samples) {
        val target = targets[message.body.target] ?: open(message.body.target)
        val isAccepted = target?.offer(TargetMessage.Samples(message.body.after, message.reply)) ?: false
        if (!isAccepted) message.reply.complete(SampleAges())
    }

    private fun open(id: TargetId): TargetTask? {
        val entry = environment.view.current().targets[id] ?: return null
        val task = TargetTask(entry, environment.driverOf(entry), environment, limits)
        task.start(scope)
        targets = targets.put(id, task)
        return task
    }

    private fun broadcast(message: OwnerMessage) {
        targets.values.forEach { it.offer(TargetMessage.Event(message)) }
    }

    private fun announceChanges() {
        val current = environment.view.current().targets
        targets.forEach { (id, task) ->
            val entry = current[id] ?: return@forEach
            if (entry != announced[id]) task.offer(TargetMessage.Event(OwnerMessage.Announced(entry)))
        }
        announced = current
    }

    private companion object {
        const val TICK_MILLIS = 100L
    }
}
