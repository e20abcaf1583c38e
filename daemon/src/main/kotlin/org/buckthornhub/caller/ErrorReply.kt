package org.buckthornhub.caller

import org.buckthornhub.caller.wire.ErrorBody
import org.buckthornhub.error.ErrorTable
import org.buckthornhub.error.ProxyError
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.WireJson

private const val MILLIS_PER_SECOND = 1_000.0

/** Returns the HTTP reply to [error], as defined in [ErrorTable]. */
internal fun errorReply(error: ProxyError, traceId: String? = null, session: String? = null): HttpReply {
    val answer = ErrorTable.answerTo(error.kind)
    val body =
        ErrorBody(
            kind = error.kind,
            detail = error.detail,
            execution = answer.execution,
            repeatMayHelp = answer.isRetryable,
            advice = answer.advice,
            retryAfterMillis = error.retryAfterMillis,
            traceId = traceId,
            session = session,
        )
    val headers = error.retryAfterMillis?.let { mapOf("Retry-After" to retryAfterSeconds(it)) }.orEmpty()
    return HttpReply(answer.status, WireJson.encodeToString(ErrorBody.serializer(), body), headers)
}

// The header is in whole seconds, rounded up; the body has the exact time.
private fun retryAfterSeconds(millis: Long): String = kotlin.math.ceil(millis / MILLIS_PER_SECOND).toLong().toString()
