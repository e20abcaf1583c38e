package org.buckthornhub.instancepool

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.buckthornhub.clock.Clock
import org.buckthornhub.connection.TargetLinkFailure
import org.buckthornhub.connection.TargetRefusal
import org.buckthornhub.connection.TargetReply
import org.buckthornhub.connection.TargetStatement
import org.buckthornhub.instancepool.load.StatementOutcome
import org.buckthornhub.instancepool.load.StatementSample

/** Times the statements of one lease at the instance; the pauses of the caller between them don't count. */
internal class StatementTimer(
    private val priority: Int,
    private val clock: Clock,
) {
    /** Newest samples, oldest first. */
    var samples: PersistentList<StatementSample> = persistentListOf()
        private set

    suspend fun run(
        statement: TargetStatement,
        send: suspend () -> Result<TargetReply, TargetLinkFailure>,
    ): Result<TargetReply, TargetLinkFailure> {
        val startedMillis = clock.nowMillis()
        val result = send()
        val outcome = result.mapBoth(success = { outcomeOf(statement, it) }, failure = { outcomeOf(it) }) ?: return result
        val next = samples.add(StatementSample(priority, clock.nowMillis() - startedMillis, outcome))
        samples = if (next.size > MAX_SAMPLES) next.removeAt(0) else next
        return result
    }

    // The beginning and the end of a transaction take no slot of the instance, so that their time says nothing about its load.
    private fun outcomeOf(statement: TargetStatement, reply: TargetReply): StatementOutcome? = when (reply) {
        is TargetReply.Completed -> {
            val isWork = statement is TargetStatement.Run || statement is TargetStatement.Execute
            StatementOutcome.SERVED.takeIf { isWork }
        }
        is TargetReply.Refused -> outcomeOf(reply.refusal)
    }

    // The other refusals are due to the statement, the session, or the role or position of the instance.
    private fun outcomeOf(refusal: TargetRefusal): StatementOutcome? = when (refusal) {
        TargetRefusal.BUSY, TargetRefusal.TOO_MANY_CONNECTIONS -> StatementOutcome.BUSY
        TargetRefusal.FAILED, TargetRefusal.TIMED_OUT, TargetRefusal.IN_DOUBT, TargetRefusal.OTHER -> StatementOutcome.FAILED
        TargetRefusal.BEHIND, TargetRefusal.NOT_LEADING, TargetRefusal.OTHER_INSTANCE, TargetRefusal.PREPARED_UNKNOWN,
        TargetRefusal.ABORTED, TargetRefusal.MALFORMED,
        -> null
    }

    // A connection may have been closed while it was idle; where nothing was sent, the instance has not failed.
    private fun outcomeOf(failure: TargetLinkFailure): StatementOutcome? = StatementOutcome.FAILED.takeIf { failure.mayHaveRun }

    private companion object {
        /** Bounds the samples of a long transaction; the memory of the load is a few seconds. */
        const val MAX_SAMPLES = 16
    }
}
