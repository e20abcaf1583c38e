package org.buckthornhub.http

import com.github.michaelbull.result.Result

/** HTTP client for one address, owned and closed by the task that opened it. */
public interface HttpLink : AutoCloseable {
    /** Posts [body] as JSON and waits up to [timeoutMillis] for the complete reply. */
    public suspend fun post(
        path: String,
        body: String,
        timeoutMillis: Long,
        headers: Map<String, String> = emptyMap(),
    ): Result<HttpReply, HttpFailure>

    /** Posts [body] as JSON, compressed if the peer accepts that, and waits up to [timeoutMillis] for the complete reply. */
    public suspend fun post(
        path: String,
        body: CompressedBody,
        timeoutMillis: Long,
        headers: Map<String, String> = emptyMap(),
    ): Result<HttpReply, HttpFailure> = post(path, body.text(), timeoutMillis, headers)

    /** Posts [body] as JSON, and waits up to [timeoutMillis] for the reply to begin and up to [transferMillis] longer for its end. */
    public suspend fun postForLargeReply(
        path: String,
        body: String,
        timeoutMillis: Long,
        transferMillis: Long,
        headers: Map<String, String> = emptyMap(),
    ): Result<HttpReply, HttpFailure> = post(path, body, timeoutMillis, headers)

    /** Gets [path] and waits up to [timeoutMillis] for the complete reply. */
    public suspend fun get(path: String, timeoutMillis: Long, headers: Map<String, String> = emptyMap()): Result<HttpReply, HttpFailure>

    /** Opens links; tests replace it by a fake. */
    public fun interface Factory {
        /** @param address `host:port` */
        public fun open(address: String): HttpLink
    }
}

/** Opens links over TCP. */
public val HttpLinks: HttpLink.Factory = HttpLink.Factory { RealHttpLink(it) }
