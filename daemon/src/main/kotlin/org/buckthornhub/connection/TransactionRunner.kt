package org.buckthornhub.connection

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import com.github.michaelbull.result.mapError
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
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
    private val timeoutMillis get() = admission.route.statementTimeoutMillis
    private var lease: TargetLease? = null
    private var isOnPrimary = false

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
        val sentMillis = environment.clock.nowMillis()
        val reply = lease.prepareAndRun(work, id, session, floor = null, timeoutMillis)
            .getOrElse { return Err(failureOf(lease, aborted(lease, it), sentMillis, mayHaveRun = false)) }
        // A statement takes effect with the commit only.
        return settle(lease, reply, sentMillis).mapError { failureOf(lease, it, sentMillis, mayHaveRun = false) }
    }

    /** Commits. Fails with `OUTCOME_UNKNOWN` if the commit may have taken effect; on any other error the transaction is rolled back. */
    suspend fun commit(id: RequestId, session: SessionState, open: TransactionState.Open): Result<TargetReply.Completed, StatementFailure> {
        val lease = leaseFor(session, open).getOrElse { return Err(it) }
        val sentMillis = environment.clock.nowMillis()
        val reply = lease.run(TargetStatement.Commit(id), timeoutMillis).getOrElse { failure ->
            val error = aborted(lease, failure)
            val mayHaveRun = open.hasWritten && failure.mayHaveRun
            val found = if (mayHaveRun) error.copy(kind = ErrorKind.OUTCOME_UNKNOWN) else error
            return Err(failureOf(lease, found, sentMillis, mayHaveRun))
        }
        if (reply is TargetReply.Completed) release(lease)
        return settle(lease, reply, sentMillis).mapError { error ->
            val isReplaced = reply is TargetReply.Completed && open.hasWritten
            val mayHaveRun = isReplaced || (reply as? TargetReply.Refused)?.refusal?.mayHaveRun == true
            failureOf(lease, if (isReplaced) error.copy(kind = ErrorKind.OUTCOME_UNKNOWN) else error, sentMillis, mayHaveRun)
        }
    }

    /** Rolls back asynchronously. */
    fun rollBack() {
        val open = lease ?: return
        lease = null
        scope.launch {
            open.run(TargetStatement.RollBack, timeoutMillis)
            open.release()
        }
    }

    private fun settle(lease: TargetLease, reply: TargetReply, sentMillis: Long): Result<TargetReply.Completed, ProxyError> {
        if (reply is TargetReply.Completed) {
            // Each answer in a read-write transaction proves that the instance was still primary.
            return if (!isOnPrimary || primaryRunner.observe(admission, lease, sentMillis, reply)) Ok(reply) else Err(replaced(lease))
        }
        val refused = reply as TargetReply.Refused
        if (refused.refusal == TargetRefusal.NOT_LEADING) environment.pool.demote(lease.instance.target)
        // A refused commit may have ended the transaction already.
        if (refused.phase == SessionPhase.IDLE) release(lease) else rollBack()
        return Err(TargetErrors.of(lease.instance.target, refused))
    }

    private fun replaced(lease: TargetLease): ProxyError {
        rollBack()
        return ProxyError(ErrorKind.TRANSACTION_ABORTED, "${lease.instance.target} may have been replaced during the transaction")
    }

    private fun release(ended: TargetLease) {
        lease = null
        ended.release()
    }

    private fun aborted(lease: TargetLease, failure: TargetLinkFailure): ProxyError {
        this.lease = null
        lease.release()
        return ProxyError(ErrorKind.TRANSACTION_ABORTED, "${lease.instance.target} was lost in a transaction: ${failure.detail}")
    }

    private fun failureOf(lease: TargetLease, error: ProxyError, sentMillis: Long, mayHaveRun: Boolean): StatementFailure {
        val tookMillis = environment.clock.nowMillis() - sentMillis
        return StatementFailure(error, persistentListOf(AttemptFailure(lease.instance.target, error, mayHaveRun, tookMillis)))
    }

    private suspend fun leaseFor(session: SessionState, open: TransactionState.Open): Result<TargetLease, StatementFailure> {
        lease?.let { return Ok(it) }
        var excluded: Set<TargetId> = emptySet()
        var last: RunOutcome.Retry? = null
        var attempts = persistentListOf<AttemptFailure>()
        repeat(MAX_ATTEMPTS) {
            val startedMillis = environment.clock.nowMillis()
            val failed = begin(session, open, admission.at(environment.clock.nowMillis()), excluded).mapBoth(
                success = { begun ->
                    lease = begun
                    return Ok(begun)
                },
                failure = { it },
            )
            attempts = attempts.add(failed.failure.copy(tookMillis = environment.clock.nowMillis() - startedMillis))
            if (failed !is RunOutcome.Retry) return Err(StatementFailure((last ?: failed).error, attempts))
            last = failed
            excluded = excluded + setOfNotNull(failed.failure.target)
        }
        return Err(StatementFailure(checkNotNull(last) { "no attempt was made" }.error, attempts))
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
        val sentMillis = environment.clock.nowMillis()
        val reply = lease.run(TargetStatement.Begin(readOnly = floor != null, floor), admission.attemptMillis).getOrElse {
            lease.release()
            val error = ProxyError(ErrorKind.NO_TARGET, "$target did not begin a transaction: ${it.detail}")
            return Err(RunOutcome.Retry(AttemptFailure(target, error, mayHaveRun = false), isTargetAvoided = true))
        }
        if (reply is TargetReply.Refused) {
            lease.release()
            if (reply.refusal == TargetRefusal.NOT_LEADING) environment.pool.demote(target)
            return Err(RunOutcome.Retry(AttemptFailure(target, TargetErrors.of(target, reply), mayHaveRun = false), isTargetAvoided = true))
        }
        isOnPrimary = floor == null
        if (isOnPrimary) primaryRunner.observe(admission, lease, sentMillis, reply)
        return Ok(lease)
    }

    private companion object {
        const val MAX_ATTEMPTS = 4
    }
}
