package org.buckthornhub.connection

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.buckthornhub.coordination.ClockReading
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.horizon.AnsweredStatement
import org.buckthornhub.horizon.TransactionMode
import org.buckthornhub.instancepool.ConnectionRequest
import org.buckthornhub.instancepool.ConnectionRequirement
import org.buckthornhub.instancepool.TargetLease
import org.buckthornhub.statement.RequestId
import org.buckthornhub.target.TargetId

/** Runs single statements on the primary. */
internal class PrimaryStatementRunner(private val environment: SessionEnvironment) {
    private val connections = AdmittedConnections(environment)
    private val leaseReturn get() = environment.fixedReturn(LEASE_RETRY_MILLIS)

    /** Runs a read inside a read-write transaction, which only the primary begins, so that a deposed primary never serves it. */
    suspend fun read(scope: CoroutineScope, work: DataStatement, id: RequestId, session: SessionState, admission: Admission): RunOutcome {
        val lease = acquire(admission).getOrElse { return RunOutcome.NoTarget(it) }
        val timeoutMillis = admission.attemptMillis
        val sentAt = ClockReading.of(environment.clock)
        val begun = lease.run(TargetStatement.Begin(readOnly = false, floor = null), timeoutMillis)
            .getOrElse { return answerLost(lease, it) }
        if (begun is TargetReply.Refused) return refused(lease, begun)
        observe(admission, lease, sentAt, AnsweredStatement.Begin(readOnly = false), begun)
        val reply = lease.prepareAndRun(work, id, session, floor = null, timeoutMillis).getOrElse { return answerLost(lease, it) }
        scope.launch { rollBack(lease, timeoutMillis) }
        if (reply !is TargetReply.Completed) return outcomeOf(lease.instance.target, reply as TargetReply.Refused)
        if (!environment.authority.allows(admission.route.group, lease.instance.target)) return replaced(lease)
        return RunOutcome.Done(reply.copy(phase = SessionPhase.IDLE), lease)
    }

    /** Runs a write outside a transaction. It is retried only if nothing was sent or the target reported that it did not run. */
    suspend fun write(work: DataStatement, id: RequestId, session: SessionState, admission: Admission): RunOutcome {
        val lease = acquire(admission).getOrElse { return RunOutcome.NoTarget(it) }
        val sentAt = ClockReading.of(environment.clock)
        val reply = lease.prepareAndRun(work, id, session, floor = null, admission.route.statementTimeoutMillis).getOrElse { failure ->
            lease.release()
            if (!failure.mayHaveRun) return RunOutcome.Retry(notRun(lease, failure), isTargetAvoided = true)
            return RunOutcome.Final(inDoubt(lease, "gave no answer: ${failure.detail}"))
        }
        lease.release()
        val answered = AnsweredStatement.Work(work.access, TransactionMode.NONE)
        return when (reply) {
            is TargetReply.Completed -> if (observe(admission, lease, sentAt, answered, reply)) {
                RunOutcome.Done(reply, lease)
            } else {
                RunOutcome.Final(inDoubt(lease, "may have been replaced first"))
            }
            is TargetReply.Refused -> outcomeOf(lease.instance.target, reply)
        }
    }

    /** Maps a refusal of the primary to an outcome, and demotes an instance that is no longer primary. */
    fun outcomeOf(target: TargetId, reply: TargetReply.Refused): RunOutcome {
        if (reply.refusal == TargetRefusal.NOT_LEADING) environment.pool.demote(target)
        val failure = TargetErrors.refused(target, reply)
        return when (reply.refusal) {
            TargetRefusal.NOT_LEADING, TargetRefusal.PREPARED_UNKNOWN, TargetRefusal.OTHER_INSTANCE ->
                RunOutcome.Retry(failure, isTargetAvoided = false)
            else -> RunOutcome.Final(failure)
        }
    }

    /** Checks out a connection to the primary; fails if this daemon may not use it as such. */
    suspend fun acquire(admission: Admission): Result<TargetLease, ProxyError> {
        if (!environment.authority.await(admission.acquireDeadlineMillis)) {
            return Err(ProxyError(ErrorKind.NO_PRIMARY, "this daemon has no lease for the use of primaries", leaseReturn))
        }
        val lease = connections.acquire(requestFor(admission), admission).getOrElse { return Err(it) }
        if (environment.authority.allows(admission.route.group, lease.instance.target)) return Ok(lease)
        lease.release()
        return Err(ProxyError(ErrorKind.NO_PRIMARY, "${lease.instance.target} is being replaced", leaseReturn))
    }

    /** Records the position in the answer to [answered]; returns false if another instance may have been promoted before the answer. */
    fun observe(admission: Admission, lease: TargetLease, sentAt: ClockReading, answered: AnsweredStatement, reply: TargetReply): Boolean {
        val isPrimary = environment.authority.allows(admission.route.group, lease.instance.target)
        if (isPrimary) environment.commitTimelines.observe(admission.route.group, sentAt, answered, reply.position)
        return isPrimary
    }

    private fun requestFor(admission: Admission) =
        ConnectionRequest(admission.route.group, admission.organisation, ConnectionRequirement.Primary, admission.route.priority)

    private fun refused(lease: TargetLease, reply: TargetReply.Refused): RunOutcome {
        lease.release()
        return outcomeOf(lease.instance.target, reply)
    }

    // Another instance may have acknowledged commits before this read began.
    private fun replaced(lease: TargetLease): RunOutcome {
        val target = lease.instance.target
        val error = ProxyError(ErrorKind.NO_PRIMARY, "$target may have been replaced before its answer", leaseReturn)
        return RunOutcome.Retry(AttemptFailure.NotRun(target, error), isTargetAvoided = false)
    }

    private fun answerLost(lease: TargetLease, failure: TargetLinkFailure): RunOutcome {
        lease.release()
        return RunOutcome.Retry(TargetErrors.readLost(lease.instance.target, failure), isTargetAvoided = false)
    }

    private fun notRun(lease: TargetLease, failure: TargetLinkFailure): AttemptFailure.NotRun {
        val target = lease.instance.target
        val error = ProxyError(ErrorKind.NO_TARGET, "$target was lost before the statement was sent: ${failure.detail}")
        return AttemptFailure.NotRun(target, error)
    }

    private fun inDoubt(lease: TargetLease, detail: String): AttemptFailure.MayHaveRun {
        val target = lease.instance.target
        return AttemptFailure.MayHaveRun(target, ProxyError(ErrorKind.OUTCOME_UNKNOWN, "$target $detail"))
    }

    private suspend fun rollBack(lease: TargetLease, timeoutMillis: Long) {
        lease.run(TargetStatement.RollBack, timeoutMillis)
        lease.release()
    }

    private companion object {
        /** About the duration of a report to the control leader, or of a promotion; in ms. */
        const val LEASE_RETRY_MILLIS = 500L
    }
}
