package org.buckthornhub.target

import com.github.michaelbull.result.Result
import org.buckthornhub.error.ProxyError
import org.buckthornhub.statement.Answer

/** Speaks to one target in its own protocol; a driver for another kind of database implements this. */
internal interface TargetDriver : AutoCloseable {
    /** Opens a connection and answers its name. */
    suspend fun connect(timeoutMillis: Long): Result<String, ProxyError>

    /** Runs the operation of [call] on [connection]. */
    suspend fun execute(connection: String, call: TargetCall, timeoutMillis: Long): Result<Answer, ProxyError>

    /** Closes [connection]; the target rolls back what is open on it. */
    suspend fun disconnect(connection: String)
}
