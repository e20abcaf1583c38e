package org.buckthornhub.instancepool

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import org.buckthornhub.connection.ConnectionSetup
import org.buckthornhub.connection.PreparedStatement
import org.buckthornhub.connection.SessionPhase
import org.buckthornhub.connection.SessionState
import org.buckthornhub.connection.TargetConnectionState
import org.buckthornhub.connection.TargetLink
import org.buckthornhub.connection.TargetLinkFailure
import org.buckthornhub.connection.TargetReply
import org.buckthornhub.connection.TargetStatement
import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.group.Position
import org.buckthornhub.task.Mailbox

/**
 * A pooled connection that one session has checked out and uses exclusively until it releases it.
 *
 * @property waitedMillis how long the session waited for the connection
 */
internal class TargetLease(
    private val connection: PoolConnection,
    val instance: InstanceRecord,
    val waitedMillis: Long,
    private val link: TargetLink,
    private val pool: Mailbox<PoolCommand>,
    private val timer: StatementTimer,
) {
    private var state: TargetConnectionState = connection.state
    private var applied: Position? = null
    private var isUsable = true
    private var isSilent = false
    private var isReleased = false

    suspend fun run(statement: TargetStatement, timeoutMillis: Long): Result<TargetReply, TargetLinkFailure> {
        val reply = timer.run(statement) { link.run(statement, timeoutMillis) }.getOrElse { failure ->
            isUsable = false
            isSilent = failure.isSilent
            return Err(failure)
        }
        applied = reply.position ?: applied
        isUsable = reply.phase == SessionPhase.IDLE
        return Ok(reply)
    }

    /** Sets the values and prepared statements of [session] on the connection. Returns the name of [needed] on it. */
    suspend fun prepare(session: SessionState, needed: PreparedStatement?, timeoutMillis: Long): Result<String?, TargetLinkFailure> {
        val setup = ConnectionSetup.between(state, session, needed)
        for (step in setup.steps) {
            val reply = run(TargetStatement.Setup(step), timeoutMillis).getOrElse { return Err(it) }
            if (reply is TargetReply.Refused) {
                isUsable = false
                return Err(
                    TargetLinkFailure(
                        mayHaveRun = false,
                        isSilent = false,
                        "${instance.target} refused the session setup: ${reply.detail}",
                    ),
                )
            }
        }
        state = setup.state
        return Ok(needed?.let { setup.state.prepared[it] })
    }

    /** Returns the connection to the pool. The pool closes it if a transaction is open on it or its state is unknown. */
    fun release() {
        if (isReleased) return
        isReleased = true
        val kept = state.takeIf { isUsable && link.isOpen }
        pool.offer(PoolCommand.Decide(PoolMessage.Released(connection.id, connection.target, kept, applied, isSilent, timer.samples)))
    }
}
