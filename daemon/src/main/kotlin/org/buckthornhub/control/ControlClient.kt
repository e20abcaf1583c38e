package org.buckthornhub.control

import com.github.michaelbull.result.Result
import org.buckthornhub.http.HttpFailure
import org.buckthornhub.http.HttpReply

/** Client of the current leader of the control quorum, usable on any daemon. */
internal fun interface ControlClient {
    /** Posts [body] to [path] on the leader. A reply of a VM that does not lead is never returned. */
    suspend fun post(path: String, body: String, timeoutMillis: Long): Result<HttpReply, HttpFailure>
}
