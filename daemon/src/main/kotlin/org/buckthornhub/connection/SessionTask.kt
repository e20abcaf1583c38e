package org.buckthornhub.connection

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.ChannelResult
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.supervisorScope
import kotlinx.coroutines.withTimeoutOrNull
import org.buckthornhub.decisionlog.DecisionEvent
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Position
import org.buckthornhub.organisation.KeyDigest
import org.buckthornhub.statement.Access
import org.buckthornhub.statement.RequestId

/** Serves the connection of one caller; its requests are the mailbox of the task. */
internal class SessionTask(
    private val link: ClientLink,
    private val environment: SessionEnvironment,
) {
    private val gate = AdmissionGate(environment)
    private val statementRunner = SingleStatementRunner(environment)
    private val recorder = StatementRecorder(environment)
    private val returns = RefusalReturns(environment)
    private var session = SessionState()
    private var transaction: TransactionRunner? = null
    private lateinit var caller: CallerIdentity
    private var current: RequestId? = null
    private var startedMillis = 0L
    private lateinit var scope: CoroutineScope

    fun start(scope: CoroutineScope): Job = scope.launch(logErrors) {
        supervisorScope {
            this@SessionTask.scope = this
            run()
        }
    }

    @Suppress("TooGenericExceptionCaught") // Last resort: an error in one session must not end the others.
    private suspend fun run() {
        try {
            if (open()) serve()
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            logger.error(e) { "session failed at request ${current?.value}" }
            // What ran is not known, so this reply must not promise that nothing did.
            link.send(ClientReply.Ended(ProxyError(ErrorKind.INTERNAL, "internal error; see the log of this daemon")))
        } finally {
            transaction?.rollBack()
            link.close()
        }
    }

    private suspend fun open(): Boolean {
        val request = withTimeoutOrNull(HANDSHAKE_TIMEOUT_MILLIS) { link.requests.receiveCatching().getOrNull() } ?: return false
        if (request !is ClientRequest.Start) return end(ProxyError(ErrorKind.MALFORMED_REQUEST, "the first request must open a session"))
        caller = CallerIdentity(request.database, KeyDigest.of(request.key))
        gate.check(caller).getOrElse { return end(returns.timed(it, caller)) }
        link.send(ClientReply.Started)
        return true
    }

    private suspend fun serve() {
        while (true) {
            when (val next = next()) {
                is SessionEvent.Idle -> expire()
                is SessionEvent.Leaving -> return
                is SessionEvent.Evacuated -> transaction?.endForEvacuation()
                is SessionEvent.Request -> if (!handle(next.request)) return
                is SessionEvent.Disconnected -> return
            }
        }
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun next(): SessionEvent = select {
        link.requests.onReceiveCatching { result: ChannelResult<ClientRequest> ->
            result.getOrNull()?.let { SessionEvent.Request(it) } ?: SessionEvent.Disconnected
        }
        if (session.transaction is TransactionState.Open) onTimeout(idleMillis()) { SessionEvent.Idle }
        transaction?.evacuation?.onJoin { SessionEvent.Evacuated }
        if (session.transaction is TransactionState.None) environment.leaving.onJoin { SessionEvent.Leaving }
    }

    private fun idleMillis(): Long = environment.view.value.table?.transactionIdleMillis ?: DEFAULT_IDLE_MILLIS

    private fun expire() {
        transaction?.rollBack()
        transaction = null
        session = session.copy(transaction = TransactionState.Failed)
        environment.decisions.record(DecisionEvent.TransactionExpired(caller.database, idleMillis()))
    }

    private suspend fun handle(request: ClientRequest): Boolean = when (request) {
        is ClientRequest.Query -> query(request)
        is ClientRequest.Terminate -> false
        is ClientRequest.Unreadable -> end(ProxyError(ErrorKind.MALFORMED_REQUEST, request.detail))
        is ClientRequest.Start -> end(ProxyError(ErrorKind.MALFORMED_REQUEST, "the session is open already"))
    }

    private suspend fun query(request: ClientRequest.Query): Boolean {
        current = request.id
        startedMillis = environment.clock.nowMillis()
        when (val step = SessionRules.next(session, request.statement, environment.clock.nowMillis())) {
            is SessionStep.Acknowledge -> acknowledge(step.state)
            is SessionStep.Refuse -> refuse(StatementFailure.refused(ProxyError(step.kind, step.detail)), step.state)
            is SessionStep.BeginTransaction -> return begin(step)
            is SessionStep.RunOutsideTransaction -> return runOutsideTransaction(request, step)
            is SessionStep.RunInTransaction -> return runInTransaction(request, step)
            is SessionStep.CommitTransaction -> return commit(request, step)
            is SessionStep.RollBackTransaction -> {
                transaction?.rollBack()
                transaction = null
                acknowledge(step.state)
            }
        }
        return true
    }

    private suspend fun begin(step: SessionStep.BeginTransaction): Boolean {
        val admission = gate.admit(caller).getOrElse { return refuseOperation(StatementFailure.refused(it)) }
        transaction = TransactionRunner(environment, scope, admission)
        acknowledge(step.state)
        return true
    }

    private suspend fun runOutsideTransaction(request: ClientRequest.Query, step: SessionStep.RunOutsideTransaction): Boolean {
        val admission = gate.admit(caller).getOrElse { return refuseOperation(StatementFailure.refused(it)) }
        val served = statementRunner.run(scope, step.work, request.id, session, admission).getOrElse { failure ->
            if (failure.attempts.all { it.target == null }) environment.rateLimiter.refund(admission.organisation)
            return refuseOperation(failure)
        }
        if (step.work.access == Access.WRITE) recordCommit(admission.route.group, served.outcome.reply.position)
        complete(served.outcome.reply, served)
        return true
    }

    private suspend fun runInTransaction(request: ClientRequest.Query, step: SessionStep.RunInTransaction): Boolean {
        val open = transaction ?: return failTransaction(lostTransaction)
        // A key that was revoked, or given to another organisation, also ends the open transaction.
        gate.refusalInTransaction(caller, open.organisation)?.let { return failTransaction(it) }
        val reply = open.run(step.work, request.id, session, step.transaction).getOrElse {
            if (!open.hasAcquiredTarget) environment.rateLimiter.refund(open.organisation)
            return failTransaction(it)
        }
        val hasWritten = step.transaction.hasWritten || step.work.access == Access.WRITE
        session = session.copy(transaction = step.transaction.copy(hasWritten = hasWritten))
        complete(reply)
        return true
    }

    private suspend fun commit(request: ClientRequest.Query, step: SessionStep.CommitTransaction): Boolean {
        val open = transaction ?: return failTransaction(lostTransaction)
        gate.refusalInTransaction(caller, open.organisation)?.let { return refuseCommit(it) }
        val result = open.commit(request.id, session, step.transaction)
        transaction = null
        session = session.copy(transaction = TransactionState.None)
        result.mapBoth(
            success = {
                if (step.transaction.hasWritten) recordCommit(open.group, it.position)
                complete(it)
            },
            failure = { refuse(it, session) },
        )
        return true
    }

    private fun recordCommit(group: GroupId, position: Position?) {
        if (position != null) session = session.committed(group, position)
    }

    private fun acknowledge(state: SessionState) {
        session = state
        link.send(ClientReply.Completed(emptyList(), signature = null, phase(), position = null))
    }

    private fun complete(reply: TargetReply.Completed, served: ServedStatement? = null) {
        link.send(ClientReply.Completed(reply.rows, reply.signature, phase(), reply.position))
        current?.let { recorder.recordServed(it, caller, startedMillis, served) }
    }

    private suspend fun refuse(failure: StatementFailure, state: SessionState) {
        session = state
        val told = returns.timed(failure.error, caller)
        link.send(ClientReply.Failed(told, phase()))
        recorder.recordFailed(current, caller, startedMillis, failure, told)
    }

    private suspend fun failTransaction(error: ProxyError): Boolean = failTransaction(StatementFailure.refused(error))

    private suspend fun failTransaction(failure: StatementFailure): Boolean {
        transaction?.rollBack()
        transaction = null
        refuse(failure, session.copy(transaction = TransactionState.Failed))
        return true
    }

    // The commit was not sent. Like any other answer to a commit, this one ends the transaction.
    private suspend fun refuseCommit(error: ProxyError): Boolean {
        transaction?.rollBack()
        transaction = null
        refuse(StatementFailure.refused(error), session.copy(transaction = TransactionState.None))
        return true
    }

    // Closes the connection if its database or key no longer exists, or if another daemon may have a better connection to the fleet.
    private suspend fun refuseOperation(failure: StatementFailure): Boolean {
        refuse(failure, session)
        return failure.error.kind !in CLOSING_KINDS && !environment.isCutOff()
    }

    private fun end(error: ProxyError): Boolean {
        link.send(ClientReply.Ended(error))
        return false
    }

    private fun phase(): SessionPhase = when (session.transaction) {
        is TransactionState.None -> SessionPhase.IDLE
        is TransactionState.Open -> SessionPhase.IN_TRANSACTION
        is TransactionState.Failed -> SessionPhase.FAILED
    }

    private companion object {
        /** Idle timeout of transactions while no route table is known; in ms. */
        const val DEFAULT_IDLE_MILLIS = 3_000L

        /** Connections that do not open a session within this time are closed; in ms. */
        const val HANDSHAKE_TIMEOUT_MILLIS = 10_000L
        val CLOSING_KINDS = setOf(ErrorKind.DATABASE_UNKNOWN, ErrorKind.KEY_UNKNOWN, ErrorKind.CONFIGURATION_STALE)
        val logger = KotlinLogging.logger {}
        val logErrors = CoroutineExceptionHandler { _, e -> logger.error(e) { "work of a session failed" } }
        val lostTransaction = ProxyError(ErrorKind.TRANSACTION_ABORTED, "the transaction no longer exists")
    }
}
