package org.buckthornhub.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.KSerializer
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.PeerJson

/**
 * Posts [body] as JSON to another daemon and decodes the reply; fails with a description of the error for a log line.
 *
 * @param transferMillis time that a reply which has begun may take in addition
 */
internal suspend fun <B, R> HttpLink.postJson(
    path: String,
    body: B,
    bodySerializer: KSerializer<B>,
    replySerializer: KSerializer<R>,
    timeoutMillis: Long,
    headers: Map<String, String> = emptyMap(),
    transferMillis: Long = 0,
): Result<R, String> {
    val text = PeerJson.encodeToString(bodySerializer, body)
    val reply = postForLargeReply(path, text, timeoutMillis, transferMillis, headers).getOrElse { return Err(it.detail) }
    if (!reply.isSuccess) return Err("status ${reply.status}")
    return try {
        Ok(PeerJson.decodeFromString(replySerializer, reply.body))
    } catch (e: IllegalArgumentException) {
        // The library throws IllegalArgumentException for a truncated body, and a subtype of it for other errors.
        Err("the reply could not be decoded: ${e.message.orEmpty().lineSequence().first()}")
    }
}
