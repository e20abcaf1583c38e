package org.buckthornhub.connection

import kotlinx.coroutines.CoroutineScope
import org.buckthornhub.routetable.ReadGuarantee
import org.buckthornhub.statement.Access
import org.buckthornhub.statement.RequestId
import org.buckthornhub.target.TargetId

/** Runs statements outside transactions, at one target after another where that can do no harm. */
internal class AloneStatements(private val environment: SessionEnvironment) {
    private val leader = LeaderStatements(environment)
    private val reads = ReadStatements(environment)

    suspend fun run(scope: CoroutineScope, work: DataStatement, id: RequestId, session: SessionState, admission: Admission): RunOutcome {
        val receivedMillis = environment.clock.nowMillis()
        var excluded: Set<TargetId> = emptySet()
        var last: RunOutcome.Again? = null
        var current = admission
        // A refusal that nothing ran may be followed by another try; the bound only guards against a loop.
        repeat(MAX_TRIES) {
            val outcome = attempt(scope, work, id, session, current, receivedMillis, excluded)
            if (outcome !is RunOutcome.Again) return preferred(outcome, last)
            last = outcome
            excluded = excluded + setOfNotNull(outcome.tried)
            current = admission.at(environment.clock.nowMillis())
            if (current.receivedMillis - receivedMillis >= admission.route.statementTimeoutMillis) return RunOutcome.Final(outcome.error)
        }
        return RunOutcome.Final(checkNotNull(last) { "no try was made" }.error)
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
        work.access == Access.WRITE -> leader.write(work, id, session, admission)
        admission.route.guarantee is ReadGuarantee.Latest -> leader.read(scope, work, id, session, admission)
        else -> reads.read(work, id, session, admission, receivedMillis, excluded)
    }

    // What the last target said tells more than that no further one was found.
    private fun preferred(outcome: RunOutcome, last: RunOutcome.Again?): RunOutcome {
        if (last == null || outcome !is RunOutcome.Failed) return outcome
        return RunOutcome.Final(last.error.copy(detail = "${last.error.detail}; then ${outcome.error.detail}"))
    }

    private companion object {
        const val MAX_TRIES = 4
    }
}
