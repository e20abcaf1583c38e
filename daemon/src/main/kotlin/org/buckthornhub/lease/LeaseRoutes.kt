package org.buckthornhub.lease

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.mapBoth
import io.ktor.http.HttpMethod
import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.caller.errorReply
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.PeerJson
import org.buckthornhub.http.Route
import org.buckthornhub.http.RouteHandler
import org.buckthornhub.peer.PeerAuthenticator
import org.buckthornhub.peer.withPeerBody
import org.buckthornhub.promotion.PendingRenewal
import org.buckthornhub.promotion.PromotionTaskMessage
import org.buckthornhub.task.Mailbox

/**
 * Routes for lease renewals at the control leader, and for lease offers at the owner of a new primary.
 *
 * @param leader mailbox of the promotion task; null on a VM outside the control quorum
 * @param leaderOnly wraps routes that only the control leader may answer
 */
internal class LeaseRoutes(
    private val holder: Mailbox<HolderTaskMessage>,
    private val leader: Mailbox<PromotionTaskMessage>?,
    private val authority: PeerAuthenticator,
    private val leaderOnly: (RouteHandler) -> RouteHandler,
) {
    fun routes(): List<Route> = listOfNotNull(
        Route(
            HttpMethod.Post,
            OFFER_PATH,
            authority.guard { request ->
                withPeerBody(request, GroupLeadership.serializer()) { offered(it) }
            },
        ),
        leader?.let { mailbox ->
            val renew = RouteHandler { request -> withPeerBody(request, RenewRequest.serializer()) { renew(mailbox, it) } }
            Route(HttpMethod.Post, RENEW_PATH, authority.guard(leaderOnly(renew)))
        },
    )

    private fun offered(leadership: GroupLeadership): HttpReply {
        holder.offer(HolderTaskMessage.Offered(leadership))
        return HttpReply(OK, "{}")
    }

    private suspend fun renew(mailbox: Mailbox<PromotionTaskMessage>, request: RenewRequest): HttpReply {
        val renewal = PendingRenewal(request, CompletableDeferred())
        if (!mailbox.offer(PromotionTaskMessage.RenewalReceived(renewal))) renewal.reply.complete(Err(overloaded))
        return renewal.reply.await().mapBoth(
            success = { HttpReply(OK, PeerJson.encodeToString(RenewResponse.serializer(), it)) },
            failure = { errorReply(it) },
        )
    }

    companion object {
        const val RENEW_PATH = "/internal/lease/renew"
        const val OFFER_PATH = "/internal/lease/offer"
        private const val OK = 200
        private val overloaded = ProxyError(ErrorKind.QUEUE_FULL, "too many lease renewals are waiting")
    }
}
