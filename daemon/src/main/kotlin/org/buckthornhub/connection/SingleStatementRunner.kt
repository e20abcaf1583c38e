package org.buckthornhub.connection

import kotlinx.coroutines.CoroutineScope
import org.buckthornhub.routetable.ReadGuarantee
import org.buckthornhub.statement.Access
import org.buckthornhub.statement.RequestId
import org.buckthornhub.target.TargetId

/** Runs statements outside transactions and retries them on other targets where this is safe. */
internal class SingleStatementRunner(private val environment: SessionEnvironment) {
    private val primaryRunner = PrimaryStatementRunner(environment)
    private val readRunner = ReadRunner(environment)

    suspend fun run(scope: CoroutineScope, work: DataStatement, id: RequestId, session: SessionState, admission: Admission): RunOutcome {
        val receivedMillis = environment.clock.nowMillis()
        var excluded: Set<TargetId> = emptySet()
        var last: RunOutcome.Retry? = null
        var current = admission
        // A statement is retried only if nothing has run or repeating it is safe; the bound prevents an endless loop.
        repeat(MAX_ATTEMPTS) {
            val outcome = attempt(scope, work, id, session, current, receivedMillis, excluded)
            if (outcome !is RunOutcome.Retry) return preferred(outcome, last)
            last = outcome
            excluded = excluded + setOfNotNull(outcome.tried)
            current = admission.at(environment.clock.nowMillis())
            if (current.receivedMillis - receivedMillis >= admission.route.statementTimeoutMillis) return RunOutcome.Final(outcome.error)
        }
        return RunOutcome.Final(checkNotNull(last) { "no attempt was made" }.error)
    }

    private suspend fun attempt(
        scope: CoroutineScope,
        work: DataStatement,
        id: RequestId,
        session: SessionState,
        admission: Admission,
        receivedMillis: Long,
        excluded: Set<TargetId>,
    ): RunOutcome = when {
        work.access == Access.WRITE -> primaryRunner.write(work, id, session, admission)
        admission.route.guarantee is ReadGuarantee.Latest -> primaryRunner.read(scope, work, id, session, admission)
        else -> readRunner.read(work, id, session, admission, receivedMillis, excluded)
    }

    // The error of the last attempt says more than the error that no further target was found.
    private fun preferred(outcome: RunOutcome, last: RunOutcome.Retry?): RunOutcome {
        if (last == null || outcome !is RunOutcome.Failed) return outcome
        return RunOutcome.Final(last.error.copy(detail = "${last.error.detail}; then ${outcome.error.detail}"))
    }

    private companion object {
        const val MAX_ATTEMPTS = 4
    }
}
