package org.buckthornhub.bench.traffic

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import org.buckthornhub.http.HttpFailure
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.HttpReply
import org.buckthornhub.task.Mailbox

/** Passes everything on to [link] and reports the sizes. */
internal class MeteredLink(
    private val link: HttpLink,
    private val traffic: Mailbox<TrafficMessage>,
) : HttpLink {
    override suspend fun post(
        path: String,
        body: String,
        timeoutMillis: Long,
        headers: Map<String, String>,
    ): Result<HttpReply, HttpFailure> = link.post(path, body, timeoutMillis, headers).also { report(path, body, it.get()) }

    override suspend fun get(path: String, timeoutMillis: Long, headers: Map<String, String>): Result<HttpReply, HttpFailure> =
        link.get(path, timeoutMillis, headers).also { report(path, "", it.get()) }

    override fun close(): Unit = link.close()

    private fun report(path: String, body: String, reply: HttpReply?) {
        val bytes = path.length + body.length + (reply?.body?.length ?: 0)
        traffic.offer(TrafficMessage.Carried(TrafficCount(requests = 1, bytes = bytes.toLong())))
    }
}
