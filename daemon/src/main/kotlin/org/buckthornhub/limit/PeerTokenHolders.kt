package org.buckthornhub.limit

import com.github.michaelbull.result.get
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.fleet.VmId
import org.buckthornhub.http.HttpLink
import org.buckthornhub.peer.DaemonLinks
import org.buckthornhub.peer.PeerAuthenticator
import org.buckthornhub.peer.postJson
import org.buckthornhub.task.Mailbox
import org.buckthornhub.task.Task

/** Owns the links over which this daemon requests tokens from other daemons. */
internal class PeerTokenHolders(
    private val vm: VmId,
    private val local: Mailbox<ShareHolderCall>,
    view: StateSource<FleetView>,
    links: HttpLink.Factory,
    private val authority: PeerAuthenticator,
) : Task<TokenHolderCall>("token holders"),
    TokenHolders {
    private val daemons = DaemonLinks(view, links)
    private lateinit var scope: CoroutineScope

    override suspend fun request(holder: VmId, request: TokenRequest): TokenReply? {
        if (holder == vm) return requestLocally(request)
        val reply = CompletableDeferred<TokenReply?>()
        return if (offer(TokenHolderCall(holder, request, reply))) reply.await() else null
    }

    override suspend fun onStart(scope: CoroutineScope) {
        this.scope = scope
    }

    override suspend fun handle(message: TokenHolderCall) {
        val link = daemons.to(message.holder)
        if (link == null) message.reply.complete(null) else scope.launch { message.reply.complete(exchange(link, message.request)) }
    }

    override fun onEnd(): Unit = daemons.close()

    private suspend fun requestLocally(request: TokenRequest): TokenReply? {
        val reply = CompletableDeferred<TokenReply>()
        return if (local.offer(ShareHolderCall.IssueTokens(request, reply))) reply.await() else null
    }

    private suspend fun exchange(link: HttpLink, request: TokenRequest): TokenReply? = link.postJson(
        LimitRoutes.TOKENS_PATH,
        request,
        TokenRequest.serializer(),
        TokenReply.serializer(),
        TIMEOUT_MILLIS,
        authority.headers(),
    ).get()

    private companion object {
        const val TIMEOUT_MILLIS = 100L
    }
}
