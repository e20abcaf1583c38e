package org.buckthornhub.control

import com.github.michaelbull.result.Result
import org.buckthornhub.http.HttpFailure
import org.buckthornhub.http.HttpReply

/** The way from any daemon to the leader of the control quorum, wherever it is now. */
internal fun interface ControlClient {
    /** Posts [body] to [path] on the leader; a daemon that is no leader is never taken for one. */
    suspend fun post(path: String, body: String, timeoutMillis: Long): Result<HttpReply, HttpFailure>
}
