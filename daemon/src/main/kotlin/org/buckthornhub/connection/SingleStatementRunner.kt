package org.buckthornhub.connection

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CoroutineScope
import org.buckthornhub.routetable.ReadGuarantee
import org.buckthornhub.statement.Access
import org.buckthornhub.statement.RequestId
import org.buckthornhub.target.TargetId

/** Runs statements outside transactions and retries them on other targets where this is safe. */
internal class SingleStatementRunner(private val environment: SessionEnvironment) {
    private val primaryRunner = PrimaryStatementRunner(environment)
    private val readRunner = ReadRunner(environment)

    suspend fun run(
        scope: CoroutineScope,
        work: DataStatement,
        id: RequestId,
        session: SessionState,
        admission: Admission,
    ): Result<ServedStatement, StatementFailure> {
        val receivedMillis = environment.clock.nowMillis()
        var excluded: Set<TargetId> = emptySet()
        var attempts = persistentListOf<AttemptFailure>()
        var current = admission
        // A statement is retried only if nothing has run or repeating it is safe; the bound prevents an endless loop.
        repeat(MAX_ATTEMPTS) {
            val startedMillis = environment.clock.nowMillis()
            val outcome = attempt(scope, work, id, session, current, receivedMillis, excluded)
            if (outcome is RunOutcome.Done) return Ok(ServedStatement(outcome, attempts))
            val failed = outcome as RunOutcome.Failed
            attempts = attempts.add(failed.failure.took(environment.clock.nowMillis() - startedMillis))
            if (failed !is RunOutcome.Retry) return Err(StatementFailure.of(attempts))
            if (failed.isTargetAvoided) excluded = excluded + setOfNotNull(failed.failure.target)
            current = admission.at(environment.clock.nowMillis())
            if (current.receivedMillis - receivedMillis >= admission.route.statementTimeoutMillis) return Err(StatementFailure.of(attempts))
        }
        return Err(StatementFailure.of(attempts))
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

    private companion object {
        const val MAX_ATTEMPTS = 4
    }
}
