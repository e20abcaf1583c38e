package org.buckthornhub.peer

import com.github.michaelbull.result.Result
import org.buckthornhub.http.HttpFailure
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.HttpReply

/** Records every request, and replies with the result of [answer] for its path, body and headers. */
internal class RecordingLink(private val answer: suspend (String, String, Map<String, String>) -> Result<HttpReply, HttpFailure>) :
    HttpLink {
    var sent: List<String> = emptyList()

    override suspend fun post(
        path: String,
        body: String,
        timeoutMillis: Long,
        headers: Map<String, String>,
    ): Result<HttpReply, HttpFailure> {
        sent = sent + "POST $path $headers $body"
        return answer(path, body, headers)
    }

    override suspend fun get(path: String, timeoutMillis: Long, headers: Map<String, String>): Result<HttpReply, HttpFailure> {
        sent = sent + "GET $path $headers"
        return answer(path, "", headers)
    }

    override fun close() {
        sent = sent + "close"
    }
}
