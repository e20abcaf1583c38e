package org.buckthornhub.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.KSerializer
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.PeerJson

/** Asks another daemon and decodes its answer; fails with what went wrong, for a log line. */
internal suspend fun <Q, A> HttpLink.ask(
    path: String,
    question: Q,
    questions: KSerializer<Q>,
    answers: KSerializer<A>,
    timeoutMillis: Long,
    headers: Map<String, String> = emptyMap(),
): Result<A, String> {
    val reply = post(path, PeerJson.encodeToString(questions, question), timeoutMillis, headers).getOrElse { return Err(it.detail) }
    if (!reply.isSuccess) return Err("status ${reply.status}")
    return try {
        Ok(PeerJson.decodeFromString(answers, reply.body))
    } catch (e: IllegalArgumentException) {
        // Besides its own exception, the library throws this one for a body that was cut short.
        Err("the answer can't be read: ${e.message.orEmpty().lineSequence().first()}")
    }
}
