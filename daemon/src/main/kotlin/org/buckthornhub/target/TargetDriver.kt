package org.buckthornhub.target

import com.github.michaelbull.result.Result
import org.buckthornhub.error.ProxyError
import org.buckthornhub.statement.Answer
import org.buckthornhub.target.owner.InstanceProgress

/**
 * Speaks to one target in its own protocol; a driver for another kind of database implements this.
 *
 * A write carries the organisation and the request id into the log entry of the write, and the target refuses a second
 * one with `ALREADY_RAN`: that is what keeps a resend from running twice after the owner of the primary has changed.
 */
internal interface TargetDriver : AutoCloseable {
    /** Opens a connection and answers its name. */
    suspend fun connect(timeoutMillis: Long): Result<String, ConnectFailure>

    /** Runs the operation of [call] on [connection]. */
    suspend fun execute(connection: String, call: TargetCall, timeoutMillis: Long): Result<Answer, ProxyError>

    /** How far the target is, asked on a connection that takes no slot; null without an answer. */
    suspend fun progress(timeoutMillis: Long): InstanceProgress?

    /** True if [connection] answers in time; it may have gone silent while new ones work. */
    suspend fun ping(connection: String, timeoutMillis: Long): Boolean

    /** Closes [connection]; the target rolls back what is open on it. */
    suspend fun disconnect(connection: String)

    /** Opens drivers; tests plug in fakes here. */
    fun interface Factory {
        fun open(target: TargetEntry): TargetDriver
    }
}
