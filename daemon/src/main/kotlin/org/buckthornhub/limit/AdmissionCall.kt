package org.buckthornhub.limit

import com.github.michaelbull.result.Result
import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.error.ProxyError
import org.buckthornhub.organisation.OrganisationId

/** What the task that admits requests is told. */
internal sealed interface AdmissionCall {
    /** A request wants a token; the answer is how long it waited. */
    class Admit(
        val organisation: OrganisationId,
        val limit: RateLimit,
        val deadlineMillis: Long,
        val reply: CompletableDeferred<Result<Long, ProxyError>>,
    ) : AdmissionCall

    /** A holder answered, or did not. */
    class ReplyReceived(val message: TokenClientMessage.ReplyReceived) : AdmissionCall

    /** Time has passed. */
    data object Tick : AdmissionCall

    /** The daemon leaves; [done] completes once every token that it held is on its way back. */
    class Leave(val done: CompletableDeferred<Unit>) : AdmissionCall
}
