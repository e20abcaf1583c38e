package org.buckthornhub.limit

import com.github.michaelbull.result.Result
import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.error.ProxyError
import org.buckthornhub.organisation.OrganisationId

/** Messages handled by [AdmissionTask]. */
internal sealed interface AdmissionCall {
    /** Requests one token; the result is how long the request waited, in ms. */
    class Admit(
        val organisation: OrganisationId,
        val limit: RateLimit,
        val deadlineMillis: Long,
        val reply: CompletableDeferred<Result<Long, ProxyError>>,
    ) : AdmissionCall

    /** The request to a share holder has ended, with a reply or without. */
    class ReplyReceived(val message: TokenClientMessage.ReplyReceived) : AdmissionCall

    /** Periodic timer. */
    data object Tick : AdmissionCall

    /** The daemon is leaving; [done] completes once all tokens that it held have been returned or the attempt to do so has failed. */
    class Leave(val done: CompletableDeferred<Unit>) : AdmissionCall
}
