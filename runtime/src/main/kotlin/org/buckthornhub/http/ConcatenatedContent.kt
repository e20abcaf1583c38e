package org.buckthornhub.http

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully

/**
 * Response body of several [parts], which are written one after the other without a copy of the whole.
 *
 * Compressed parts form one compressed body: a gzip file may have several members (RFC 1952).
 */
internal class ConcatenatedContent(
    private val parts: List<ByteArray>,
    override val contentType: ContentType,
    override val status: HttpStatusCode,
) : OutgoingContent.WriteChannelContent() {
    override val contentLength: Long = parts.sumOf { it.size.toLong() }

    override suspend fun writeTo(channel: ByteWriteChannel): Unit = parts.forEach { channel.writeFully(it) }
}
