package org.buckthornhub.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.serialization.Serializable
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.statement.Answer
import org.buckthornhub.statement.RequestId

/** Reply of an owner to a forwarded call: [answer] or [error]. [requestId] detects a reply to another request. */
@Serializable
internal data class ForwardReply(
    val requestId: RequestId,
    val answer: Answer? = null,
    val error: ProxyError? = null,
) {
    fun toResult(): Result<Answer, ProxyError> =
        answer?.let { Ok(it) } ?: Err(error ?: ProxyError(ErrorKind.INTERNAL, "the reply of the owner is empty"))

    companion object {
        fun of(requestId: RequestId, result: Result<Answer, ProxyError>): ForwardReply =
            ForwardReply(requestId, result.get(), result.getError())
    }
}
