package org.buckthornhub.connection

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.instancepool.TargetLease
import org.buckthornhub.routetable.ReadGuarantee
import org.buckthornhub.statement.RequestId
import org.buckthornhub.target.TargetId

/** One transaction of a session, on one target connection from its first statement to its end. */
internal class TransactionRun(
    private val environment: SessionEnvironment,
    private val scope: CoroutineScope,
    private val admission: Admission,
) {
    private val leader = LeaderStatements(environment)
    private val reads = ReadStatements(environment)
    val organisation get() = admission.organisation
    private val timeoutMillis get() = admission.route.statementTimeoutMillis
    private var lease: TargetLease? = null
    private var isAtLeader = false

    /** Whether a target was found for it, so that something may have been sent. */
    var wasOffered = false
        private set

    /** Fails with an error after which nothing of the transaction is kept. */
    suspend fun run(
        work: DataStatement,
        id: RequestId,
        session: SessionState,
        open: TransactionState.Open,
    ): Result<TargetReply.Completed, ProxyError> {
        val lease = leaseFor(session, open).getOrElse { return Err(it) }
        val askedMillis = environment.clock.nowMillis()
        val reply = lease.work(work, id, session, floor = null, timeoutMillis).getOrElse { return Err(aborted(lease, it)) }
        return settle(lease, reply, askedMillis)
    }

    /** Fails with `OUTCOME_UNKNOWN` if the commit may have taken effect, else with an error after which nothing is kept. */
    suspend fun commit(id: RequestId, session: SessionState, open: TransactionState.Open): Result<TargetReply.Completed, ProxyError> {
        val lease = leaseFor(session, open).getOrElse { return Err(it) }
        val askedMillis = environment.clock.nowMillis()
        val reply = lease.run(TargetStatement.Commit(id), timeoutMillis).getOrElse { failure ->
            val error = aborted(lease, failure)
            return Err(if (open.hasWritten && failure.mayHaveRun) error.copy(kind = ErrorKind.OUTCOME_UNKNOWN) else error)
        }
        if (reply is TargetReply.Completed) release(lease)
        return settle(lease, reply, askedMillis)
    }

    /** Has the target roll back, without waiting for it. */
    fun rollBack() {
        val open = lease ?: return
        lease = null
        scope.launch {
            open.run(TargetStatement.RollBack, timeoutMillis)
            open.giveBack()
        }
    }

    private fun settle(lease: TargetLease, reply: TargetReply, askedMillis: Long): Result<TargetReply.Completed, ProxyError> {
        if (reply is TargetReply.Completed) {
            // Whatever runs in a transaction that may write shows that the instance still led.
            if (isAtLeader) environment.horizons.learn(admission.route.group, askedMillis, reply.position)
            return Ok(reply)
        }
        val refused = reply as TargetReply.Refused
        if (refused.refusal == TargetRefusal.NOT_LEADING) environment.pool.demote(lease.instance.target)
        // A refused commit may have ended the transaction already.
        if (refused.phase == SessionPhase.IDLE) release(lease) else rollBack()
        return Err(TargetErrors.of(lease.instance.target, refused))
    }

    private fun release(ended: TargetLease) {
        lease = null
        ended.giveBack()
    }

    private fun aborted(lease: TargetLease, failure: TargetLinkFailure): ProxyError {
        this.lease = null
        lease.giveBack()
        return ProxyError(ErrorKind.TRANSACTION_ABORTED, "${lease.instance.target} was lost in a transaction: ${failure.detail}")
    }

    private suspend fun leaseFor(session: SessionState, open: TransactionState.Open): Result<TargetLease, ProxyError> {
        lease?.let { return Ok(it) }
        var excluded: Set<TargetId> = emptySet()
        var last: RunOutcome.Again? = null
        repeat(MAX_TRIES) {
            val failed = begin(session, open, admission.at(environment.clock.nowMillis()), excluded).mapBoth(
                success = { begun ->
                    lease = begun
                    return Ok(begun)
                },
                failure = { it },
            )
            if (failed !is RunOutcome.Again) return Err((last ?: failed).error)
            last = failed
            excluded = excluded + setOfNotNull(failed.tried)
        }
        return Err(checkNotNull(last) { "no try was made" }.error)
    }

    private suspend fun begin(
        session: SessionState,
        open: TransactionState.Open,
        admission: Admission,
        excluded: Set<TargetId>,
    ): Result<TargetLease, RunOutcome.Failed> {
        val isReplicaEnough = open.readOnly && admission.route.guarantee !is ReadGuarantee.Latest
        val floor = if (isReplicaEnough) reads.floorOf(admission, session, open.beganMillis) else null
        if (isReplicaEnough && floor == null) return Err(RunOutcome.NoTarget(reads.unknownFloor(admission)))
        val want = if (floor == null) leader.wantOf(admission) else reads.wantOf(admission, floor, excluded)
        val lease = environment.pool.acquire(want, admission.offerByMillis).getOrElse { return Err(RunOutcome.NoTarget(it)) }
        wasOffered = true
        val target = lease.instance.target
        val askedMillis = environment.clock.nowMillis()
        val reply = lease.run(TargetStatement.Begin(readOnly = floor != null, floor), admission.attemptMillis).getOrElse {
            lease.giveBack()
            return Err(RunOutcome.Again(target, ProxyError(ErrorKind.NO_TARGET, "$target did not begin a transaction: ${it.detail}")))
        }
        if (reply is TargetReply.Refused) {
            lease.giveBack()
            if (reply.refusal == TargetRefusal.NOT_LEADING) environment.pool.demote(target)
            return Err(RunOutcome.Again(target, TargetErrors.of(target, reply)))
        }
        isAtLeader = floor == null
        if (isAtLeader) environment.horizons.learn(admission.route.group, askedMillis, reply.position)
        return Ok(lease)
    }

    private companion object {
        const val MAX_TRIES = 4
    }
}
