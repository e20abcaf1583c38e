package org.buckthornhub.connection

import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.instancepool.ConnectionRequest
import org.buckthornhub.instancepool.ConnectionRequirement
import org.buckthornhub.instancepool.TargetLease
import org.buckthornhub.statement.RequestId
import org.buckthornhub.target.TargetId

/** Runs single statements at the instance that leads. */
internal class LeaderStatements(private val environment: SessionEnvironment) {
    /** A read inside a transaction of our own, which only a leader begins: data of a deposed one is never read. */
    suspend fun read(scope: CoroutineScope, work: TargetWork, id: RequestId, session: SessionState, admission: Admission): RunOutcome {
        val lease = environment.pool.acquire(wantOf(admission), admission.offerByMillis).getOrElse { return RunOutcome.NoTarget(it) }
        val timeoutMillis = admission.attemptMillis
        val askedMillis = environment.clock.nowMillis()
        val begun = lease.run(TargetStatement.Begin(readOnly = false, floor = null), timeoutMillis).getOrElse { return lost(lease, it) }
        if (begun is TargetReply.Refused) return refused(lease, begun)
        environment.horizons.learn(admission.route.group, askedMillis, begun.position)
        val reply = lease.work(work, id, session, floor = null, timeoutMillis).getOrElse { return lost(lease, it) }
        if (reply !is TargetReply.Completed) {
            scope.launch { rollBack(lease, timeoutMillis) }
            return outcomeOf(lease.instance.target, reply as TargetReply.Refused)
        }
        scope.launch { rollBack(lease, timeoutMillis) }
        return RunOutcome.Done(reply.copy(phase = SessionPhase.IDLE), lease)
    }

    /** A write on its own; it is sent at most once unless the target says that it has not run. */
    suspend fun write(work: TargetWork, id: RequestId, session: SessionState, admission: Admission): RunOutcome {
        val lease = environment.pool.acquire(wantOf(admission), admission.offerByMillis).getOrElse { return RunOutcome.NoTarget(it) }
        val askedMillis = environment.clock.nowMillis()
        val reply = lease.work(work, id, session, floor = null, admission.route.statementTimeoutMillis).getOrElse { failure ->
            lease.giveBack()
            if (!failure.mayHaveRun) return RunOutcome.Again(lease.instance.target, notRun(lease, failure))
            return RunOutcome.Final(ProxyError(ErrorKind.OUTCOME_UNKNOWN, "${lease.instance.target} gave no answer: ${failure.detail}"))
        }
        lease.giveBack()
        return when (reply) {
            is TargetReply.Completed -> {
                environment.horizons.learn(admission.route.group, askedMillis, reply.position)
                RunOutcome.Done(reply, lease)
            }
            is TargetReply.Refused -> outcomeOf(lease.instance.target, reply)
        }
    }

    /** What a refusal of the leader leads to; one that no longer leads is not asked again. */
    fun outcomeOf(target: TargetId, reply: TargetReply.Refused): RunOutcome {
        if (reply.refusal == TargetRefusal.NOT_LEADING) environment.pool.demote(target)
        val error = TargetErrors.of(target, reply)
        return when (reply.refusal) {
            TargetRefusal.NOT_LEADING, TargetRefusal.PREPARED_UNKNOWN, TargetRefusal.OTHER_INSTANCE -> RunOutcome.Again(null, error)
            else -> RunOutcome.Final(error)
        }
    }

    fun wantOf(admission: Admission) =
        ConnectionRequest(admission.route.group, admission.organisation, ConnectionRequirement.Primary, admission.route.priority)

    private fun refused(lease: TargetLease, reply: TargetReply.Refused): RunOutcome {
        lease.giveBack()
        return outcomeOf(lease.instance.target, reply)
    }

    private fun lost(lease: TargetLease, failure: TargetLinkFailure): RunOutcome {
        lease.giveBack()
        return RunOutcome.Again(null, ProxyError(ErrorKind.ANSWER_LOST, "${lease.instance.target} gave no answer: ${failure.detail}"))
    }

    private fun notRun(lease: TargetLease, failure: TargetLinkFailure) =
        ProxyError(ErrorKind.NO_TARGET, "${lease.instance.target} was lost before the statement left: ${failure.detail}")

    private suspend fun rollBack(lease: TargetLease, timeoutMillis: Long) {
        lease.run(TargetStatement.RollBack, timeoutMillis)
        lease.giveBack()
    }
}
