package org.buckthornhub.target

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import org.buckthornhub.clock.Clock
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.http.HttpLink
import org.buckthornhub.statement.Answer
import org.buckthornhub.task.Task

/** Keeps one [TargetTask] for each target in use, and hands calls to it. */
internal class GatewayTask(
    private val view: StateSource<FleetView>,
    private val links: HttpLink.Factory,
    private val clock: Clock,
) : Task<GatewayMessage>("gateway"),
    TargetGateway {
    private var targets: PersistentMap<TargetId, TargetTask> = persistentMapOf()
    private lateinit var scope: CoroutineScope

    override suspend fun execute(call: TargetCall): Result<Answer, ProxyError> {
        val reply = CompletableDeferred<Result<Answer, ProxyError>>()
        if (!offer(GatewayMessage.Forward(call, reply))) return Err(ProxyError(ErrorKind.QUEUE_FULL, "too many calls wait in this daemon"))
        return reply.await()
    }

    override suspend fun onStart(scope: CoroutineScope) {
        this.scope = scope
    }

    override suspend fun handle(message: GatewayMessage) {
        when (message) {
            is GatewayMessage.Forward -> forward(message)
        }
    }

    private fun forward(message: GatewayMessage.Forward) {
        val target = targets[message.call.target] ?: open(message.call.target)
        val isTaken = target?.offer(TargetMessage.Run(message.call, message.reply)) ?: false
        if (!isTaken) message.reply.complete(Err(ProxyError(ErrorKind.NO_TARGET, "target ${message.call.target} can't be reached")))
    }

    private fun open(id: TargetId): TargetTask? {
        val entry = view.current().targets[id] ?: return null
        val task = TargetTask(entry, HttpTargetDriver(entry, links.open(entry.address)), clock)
        task.start(scope)
        targets = targets.put(id, task)
        return task
    }
}
