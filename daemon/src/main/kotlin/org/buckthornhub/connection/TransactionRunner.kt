package org.buckthornhub.connection

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import com.github.michaelbull.result.mapError
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.buckthornhub.coordination.ClockReading
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.evacuation.EvacuationStage
import org.buckthornhub.horizon.AnsweredStatement
import org.buckthornhub.horizon.TransactionMode
import org.buckthornhub.instancepool.TargetLease
import org.buckthornhub.routetable.ReadGuarantee
import org.buckthornhub.statement.RequestId
import org.buckthornhub.target.TargetId

/** Runs one transaction of a session on a single target connection, which it holds from the first statement to the end. */
internal class TransactionRunner(
    private val environment: SessionEnvironment,
    private val scope: CoroutineScope,
    private val admission: Admission,
) {
    private val primaryRunner = PrimaryStatementRunner(environment)
    private val readRunner = ReadRunner(environment)
    val organisation get() = admission.organisation
    val group get() = admission.route.group
    private val timeoutMillis get() = admission.route.statementTimeoutMillis
    private var lease: TargetLease? = null
    private var isOnPrimary = false
    private var evacuatedError: AttemptFailure? = null

    /** Completes when the transaction has to end because the zone of its target is evacuated; null while it has no target. */
    var evacuation: Job? = null
        private set

    /** True once a connection was acquired, so that statements may have been sent. */
    var hasAcquiredTarget = false
        private set

    /** Runs one statement. On failure the whole transaction is rolled back. */
    suspend fun run(
        work: DataStatement,
        id: RequestId,
        session: SessionState,
        open: TransactionState.Open,
    ): Result<TargetReply.Completed, StatementFailure> {
        val lease = leaseFor(session, open).getOrElse { return Err(it) }
        val sentAt = ClockReading.of(environment.clock)
        val reply = lease.prepareAndRun(work, id, session, floor = null, timeoutMillis)
            .getOrElse { return Err(failureOf(aborted(lease, it), sentAt)) }
        return settle(lease, reply, sentAt, AnsweredStatement.Work(work.access, TransactionMode.READ_WRITE))
            .mapError { failureOf(it, sentAt) }
    }

    /** Commits. Fails with `OUTCOME_UNKNOWN` if the commit may have taken effect; on any other error the transaction is rolled back. */
    suspend fun commit(id: RequestId, session: SessionState, open: TransactionState.Open): Result<TargetReply.Completed, StatementFailure> {
        val lease = leaseFor(session, open).getOrElse { return Err(it) }
        val sentAt = ClockReading.of(environment.clock)
        val reply = lease.run(TargetStatement.Commit(id), timeoutMillis).getOrElse { failure ->
            val aborted = aborted(lease, failure)
            return Err(failureOf(if (open.hasWritten && failure.mayHaveRun) inDoubt(aborted) else aborted, sentAt))
        }
        if (reply is TargetReply.Completed) release(lease)
        return settle(lease, reply, sentAt, AnsweredStatement.Commit(open.hasWritten)).mapError { failure ->
            val isReplaced = reply is TargetReply.Completed && open.hasWritten
            failureOf(if (isReplaced) inDoubt(failure) else failure, sentAt)
        }
    }

    /** Rolls back because the zone of the target is evacuated; the next statement or commit is told so. */
    fun endForEvacuation() {
        val held = lease ?: return
        rollBack()
        evacuatedError = abortedBy(held, "is in zone ${held.instance.zone}, which is evacuated")
    }

    /** Rolls back asynchronously. */
    fun rollBack() {
        val open = lease ?: return
        forgetLease()
        scope.launch {
            open.run(TargetStatement.RollBack, timeoutMillis)
            open.release()
        }
    }

    private fun settle(
        lease: TargetLease,
        reply: TargetReply,
        sentAt: ClockReading,
        answered: AnsweredStatement,
    ): Result<TargetReply.Completed, AttemptFailure> {
        if (reply is TargetReply.Completed) {
            val isPrimary = !isOnPrimary || primaryRunner.observe(admission, lease, sentAt, answered, reply)
            return if (isPrimary) Ok(reply) else Err(replaced(lease))
        }
        val refused = reply as TargetReply.Refused
        if (refused.refusal == TargetRefusal.NOT_LEADING) environment.pool.demote(lease.instance.target)
        // A refused commit may have ended the transaction already.
        if (refused.phase == SessionPhase.IDLE) release(lease) else rollBack()
        return Err(TargetErrors.refused(lease.instance.target, refused))
    }

    private fun replaced(lease: TargetLease): AttemptFailure {
        rollBack()
        return abortedBy(lease, "may have been replaced during the transaction")
    }

    private fun forgetLease() {
        lease = null
        evacuation?.cancel()
        evacuation = null
    }

    private fun release(ended: TargetLease) {
        forgetLease()
        ended.release()
    }

    private fun aborted(lease: TargetLease, failure: TargetLinkFailure): AttemptFailure {
        forgetLease()
        lease.release()
        return abortedBy(lease, "was lost in a transaction: ${failure.detail}")
    }

    // Without a commit, the statements of a transaction have no effect.
    private fun abortedBy(lease: TargetLease, detail: String): AttemptFailure {
        val target = lease.instance.target
        return AttemptFailure.NotRun(target, ProxyError(ErrorKind.TRANSACTION_ABORTED, "$target $detail"))
    }

    private fun inDoubt(commit: AttemptFailure): AttemptFailure {
        val target = checkNotNull(commit.target) { "the commit was sent to no target" }
        return AttemptFailure.MayHaveRun(target, commit.error.copy(kind = ErrorKind.OUTCOME_UNKNOWN))
    }

    private fun failureOf(attempt: AttemptFailure, sentAt: ClockReading): StatementFailure =
        StatementFailure.of(persistentListOf(attempt.took(environment.clock.nowMillis() - sentAt.monotonicMillis)))

    private suspend fun leaseFor(session: SessionState, open: TransactionState.Open): Result<TargetLease, StatementFailure> {
        val hasToEnd = lease?.let { environment.evacuations.stageOf(it.instance.zone) >= EvacuationStage.ENDING } ?: false
        if (hasToEnd) endForEvacuation()
        evacuatedError?.let { return Err(StatementFailure.of(persistentListOf(it))) }
        lease?.let { return Ok(it) }
        var excluded: Set<TargetId> = emptySet()
        var attempts = persistentListOf<AttemptFailure>()
        val first = admission.begunAt(environment.clock.nowMillis())
        repeat(MAX_ATTEMPTS) {
            val startedMillis = environment.clock.nowMillis()
            val failed = begin(session, open, first.at(environment.clock.nowMillis()), excluded).mapBoth(
                success = { begun ->
                    lease = begun
                    evacuation = environment.evacuations.watch(scope, begun.instance.zone, EvacuationStage.ENDING)
                    return Ok(begun)
                },
                failure = { it },
            )
            attempts = attempts.add(failed.failure.took(environment.clock.nowMillis() - startedMillis))
            if (failed !is RunOutcome.Retry) return Err(StatementFailure.of(attempts))
            excluded = excluded + setOfNotNull(failed.failure.target)
        }
        return Err(StatementFailure.of(attempts))
    }

    private suspend fun begin(
        session: SessionState,
        open: TransactionState.Open,
        admission: Admission,
        excluded: Set<TargetId>,
    ): Result<TargetLease, RunOutcome.Failed> {
        val allowsReplica = open.readOnly && admission.route.guarantee !is ReadGuarantee.Latest
        val floor = if (allowsReplica) readRunner.floorOf(admission, session, open.beganMillis) else null
        if (allowsReplica && floor == null) return Err(RunOutcome.NoTarget(readRunner.unknownFloorError(admission)))
        val acquired = if (floor == null) primaryRunner.acquire(admission) else readRunner.acquire(admission, floor, excluded)
        val lease = acquired.getOrElse { return Err(RunOutcome.NoTarget(it)) }
        hasAcquiredTarget = true
        val target = lease.instance.target
        val sentAt = ClockReading.of(environment.clock)
        val reply = lease.run(TargetStatement.Begin(readOnly = floor != null, floor), admission.attemptMillis).getOrElse {
            lease.release()
            val error = ProxyError(ErrorKind.NO_TARGET, "$target did not begin a transaction: ${it.detail}")
            return Err(RunOutcome.Retry(AttemptFailure.NotRun(target, error), isTargetAvoided = true))
        }
        if (reply is TargetReply.Refused) {
            lease.release()
            if (reply.refusal == TargetRefusal.NOT_LEADING) environment.pool.demote(target)
            return Err(RunOutcome.Retry(AttemptFailure.NotRun(target, TargetErrors.of(target, reply)), isTargetAvoided = true))
        }
        isOnPrimary = floor == null
        if (isOnPrimary) primaryRunner.observe(admission, lease, sentAt, AnsweredStatement.Begin(readOnly = false), reply)
        return Ok(lease)
    }

    private companion object {
        const val MAX_ATTEMPTS = 4
    }
}
