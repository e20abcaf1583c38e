package org.buckthornhub.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.buckthornhub.clock.Clock
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.fleet.VmId
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.PeerJson
import org.buckthornhub.statement.Answer
import org.buckthornhub.statement.isRead
import org.buckthornhub.target.SampleAges
import org.buckthornhub.target.TargetCall
import org.buckthornhub.task.Task

/** Owns the links to other daemons and forwards calls to the owners there. Sends each call at most once. */
internal class PeerTask(
    view: StateSource<FleetView>,
    links: HttpLink.Factory,
    private val authority: PeerAuthenticator,
    private val clock: Clock,
) : Task<PeerTaskMessage>("peers"),
    PeerGateway {
    private val daemons = DaemonLinks(view, links)
    private lateinit var scope: CoroutineScope

    override suspend fun execute(owner: VmId, call: TargetCall): Result<Answer, ProxyError> {
        val reply = CompletableDeferred<Result<Answer, ProxyError>>()
        if (!offer(
                PeerTaskMessage.Forward(owner, call, reply),
            )
        ) {
            return Err(ProxyError(ErrorKind.QUEUE_FULL, "the queue of calls to other daemons is full"))
        }
        return reply.await()
    }

    override suspend fun samples(owner: VmId, body: SampleBody): SampleAges {
        val reply = CompletableDeferred<SampleAges>()
        return if (offer(PeerTaskMessage.Samples(owner, body, reply))) reply.await() else SampleAges()
    }

    override suspend fun onStart(scope: CoroutineScope) {
        this.scope = scope
    }

    override suspend fun handle(message: PeerTaskMessage) {
        when (message) {
            is PeerTaskMessage.Forward -> forward(message)
            is PeerTaskMessage.Samples -> samples(message)
        }
    }

    override fun onEnd(): Unit = daemons.close()

    private fun forward(message: PeerTaskMessage.Forward) {
        val link = daemons.to(message.owner)
        if (link == null) {
            message.reply.complete(Err(ProxyError(ErrorKind.NO_TARGET, "no address is known for daemon ${message.owner}")))
            return
        }
        scope.launch { message.reply.complete(exchange(link, message.call)) }
    }

    private fun samples(message: PeerTaskMessage.Samples) {
        val link = daemons.to(message.owner)
        if (link == null) message.reply.complete(SampleAges()) else scope.launch { message.reply.complete(fetch(link, message.body)) }
    }

    private suspend fun fetch(link: HttpLink, body: SampleBody): SampleAges = link.postJson(
        ForwardRoutes.SAMPLES_PATH,
        body,
        SampleBody.serializer(),
        SampleAges.serializer(),
        SAMPLES_TIMEOUT_MILLIS,
        authority.headers(),
    ).getOrElse { SampleAges() }

    private suspend fun exchange(link: HttpLink, call: TargetCall): Result<Answer, ProxyError> {
        val body = ForwardBody.of(call, clock.nowMillis())
        if (body.remainingMillis <=
            0
        ) {
            return Err(ProxyError(ErrorKind.DEADLINE_EXPIRED, "the deadline passed before the call was forwarded"))
        }
        val text = PeerJson.encodeToString(ForwardBody.serializer(), body)
        // The owner replies by the deadline; the grace period covers the way back.
        val reply =
            link.post(ForwardRoutes.PATH, text, body.remainingMillis + GRACE_MILLIS, authority.headers()).getOrElse {
                return Err(if (it.sent) lostReply(call, it.detail) else ProxyError(ErrorKind.NO_TARGET, it.detail))
            }
        return resultOf(reply, call)
    }

    private fun resultOf(reply: HttpReply, call: TargetCall): Result<Answer, ProxyError> {
        if (!reply.isSuccess) return Err(lostReply(call, "the owner replied with status ${reply.status}"))
        return try {
            val decoded = PeerJson.decodeFromString(ForwardReply.serializer(), reply.body)
            if (decoded.requestId == call.requestId) decoded.toResult() else Err(lostReply(call, "the owner replied to another request"))
        } catch (e: IllegalArgumentException) {
            Err(lostReply(call, "the reply of the owner could not be decoded: ${e.message}"))
        }
    }

    private fun lostReply(call: TargetCall, detail: String): ProxyError =
        ProxyError(if (call.operation.isRead()) ErrorKind.ANSWER_LOST else ErrorKind.OUTCOME_UNKNOWN, detail)

    private companion object {
        const val GRACE_MILLIS = 50L
        const val SAMPLES_TIMEOUT_MILLIS = 500L
    }
}
