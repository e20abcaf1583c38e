package org.buckthornhub.http

import com.github.michaelbull.result.Result

/** The connections of one task to one address. The task that made it closes it. */
public interface HttpLink : AutoCloseable {
    /** Posts [body] as JSON and waits for the whole reply, at most [timeoutMillis]. */
    public suspend fun post(
        path: String,
        body: String,
        timeoutMillis: Long,
        headers: Map<String, String> = emptyMap(),
    ): Result<HttpReply, HttpFailure>

    /** Gets [path] and waits for the whole reply, at most [timeoutMillis]. */
    public suspend fun get(path: String, timeoutMillis: Long, headers: Map<String, String> = emptyMap()): Result<HttpReply, HttpFailure>

    /** Opens links; tests plug in fakes here. */
    public fun interface Factory {
        /** @param address `host:port` */
        public fun open(address: String): HttpLink
    }
}

/** Opens links over TCP. */
public val HttpLinks: HttpLink.Factory = HttpLink.Factory { RealHttpLink(it) }
