package org.buckthornhub.limit

import com.github.michaelbull.result.get
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.fleet.VmId
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.PeerJson
import org.buckthornhub.peer.PeerAuthority
import org.buckthornhub.peer.PeerLink
import org.buckthornhub.task.Mailbox
import org.buckthornhub.task.Task

/** Owns the links over which this daemon asks other daemons for tokens. */
internal class PeerTokenHolders(
    private val vm: VmId,
    private val own: Mailbox<ShareHolderCall>,
    private val view: StateSource<FleetView>,
    private val links: HttpLink.Factory,
    private val authority: PeerAuthority,
) : Task<TokenHolderCall>("token holders"),
    TokenHolders {
    private var peers: PersistentMap<VmId, PeerLink> = persistentMapOf()
    private lateinit var scope: CoroutineScope

    override suspend fun ask(holder: VmId, request: TokenRequest): TokenReply? {
        if (holder == vm) return askOwn(request)
        val reply = CompletableDeferred<TokenReply?>()
        return if (offer(TokenHolderCall(holder, request, reply))) reply.await() else null
    }

    override suspend fun onStart(scope: CoroutineScope) {
        this.scope = scope
    }

    override suspend fun handle(message: TokenHolderCall) {
        val link = linkTo(message.holder)
        if (link == null) message.reply.complete(null) else scope.launch { message.reply.complete(exchange(link, message.request)) }
    }

    override fun onEnd() {
        peers.values.forEach { it.link.close() }
    }

    private suspend fun askOwn(request: TokenRequest): TokenReply? {
        val reply = CompletableDeferred<TokenReply>()
        return if (own.offer(ShareHolderCall.Ask(request, reply))) reply.await() else null
    }

    private suspend fun exchange(link: HttpLink, request: TokenRequest): TokenReply? {
        val body = PeerJson.encodeToString(TokenRequest.serializer(), request)
        val reply = link.post(LimitRoutes.TOKENS_PATH, body, TIMEOUT_MILLIS, authority.headers()).get()?.takeIf { it.isSuccess }
        return try {
            reply?.let { PeerJson.decodeFromString(TokenReply.serializer(), it.body) }
        } catch (e: SerializationException) {
            null
        }
    }

    private fun linkTo(holder: VmId): HttpLink? {
        val address = view.current().daemons[holder]?.address ?: return null
        val known = peers[holder]
        if (known?.address == address) return known.link
        known?.link?.close()
        val link = links.open(address)
        peers = peers.put(holder, PeerLink(address, link))
        return link
    }

    private companion object {
        const val TIMEOUT_MILLIS = 100L
    }
}
