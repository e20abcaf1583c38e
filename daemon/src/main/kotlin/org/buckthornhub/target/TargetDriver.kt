package org.buckthornhub.target

import com.github.michaelbull.result.Result
import org.buckthornhub.error.ProxyError
import org.buckthornhub.statement.Answer
import org.buckthornhub.target.owner.InstanceProgress

/**
 * Client of one target in its native protocol. Each kind of database has its own implementation.
 *
 * The log entry of a write contains the organisation and the request id, and the target refuses a second write with the same
 * ids with `ALREADY_RAN`. This prevents a resent write from running twice after the owner of the primary has changed.
 */
internal interface TargetDriver : AutoCloseable {
    /** Opens a connection and returns its name. */
    suspend fun connect(timeoutMillis: Long): Result<String, ConnectFailure>

    /** Runs the operation of [call] on [connection]. */
    suspend fun execute(connection: String, call: TargetCall, timeoutMillis: Long): Result<Answer, ProxyError>

    /** Returns the replication progress of the target, or null without an answer. The query occupies no slot. */
    suspend fun progress(timeoutMillis: Long): InstanceProgress?

    /** Returns true if [connection] answers in time. A connection may be dead although new ones can be opened. */
    suspend fun ping(connection: String, timeoutMillis: Long): Boolean

    /** Closes [connection]; the target rolls back its open transaction. */
    suspend fun disconnect(connection: String)

    /** Opens drivers; tests substitute fakes. */
    fun interface Factory {
        fun open(target: TargetEntry): TargetDriver
    }
}
