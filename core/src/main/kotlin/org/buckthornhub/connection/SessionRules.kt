package org.buckthornhub.connection

import org.buckthornhub.error.ErrorKind

/** Decides the next step for a statement from the state of its session alone; contacts no target. */
public object SessionRules {
    /** Maximum number of values, and of prepared statements, in one session; bounds the memory of a session. */
    public const val MAX_NAMES: Int = 256

    public fun next(state: SessionState, statement: ClientStatement, nowMillis: Long): SessionStep = when (val open = state.transaction) {
        is TransactionState.Failed -> inFailedTransaction(state, statement)
        is TransactionState.Open -> inTransaction(state, statement, open)
        is TransactionState.None -> outsideTransaction(state, statement, nowMillis)
    }

    private fun inFailedTransaction(state: SessionState, statement: ClientStatement): SessionStep {
        val ended = state.copy(transaction = TransactionState.None)
        return when (statement) {
            is ClientStatement.RollBack -> SessionStep.RollBackTransaction(ended)
            is ClientStatement.Commit ->
                SessionStep.Refuse(ErrorKind.TRANSACTION_ABORTED, "the transaction had failed and was rolled back", ended)
            else -> malformed(state, "the transaction has failed; only a commit or a rollback is accepted")
        }
    }

    private fun inTransaction(state: SessionState, statement: ClientStatement, open: TransactionState.Open): SessionStep =
        when (statement) {
            is ClientStatement.Begin -> malformed(state, "a transaction is already open")
            is ClientStatement.Commit -> SessionStep.CommitTransaction(open)
            is ClientStatement.RollBack -> SessionStep.RollBackTransaction(state.copy(transaction = TransactionState.None))
            else -> workOf(state, statement) { SessionStep.RunInTransaction(it, open) }
        }

    private fun outsideTransaction(state: SessionState, statement: ClientStatement, nowMillis: Long): SessionStep = when (statement) {
        is ClientStatement.Begin ->
            SessionStep.BeginTransaction(state.copy(transaction = TransactionState.Open(statement.readOnly, nowMillis)))
        is ClientStatement.Commit, is ClientStatement.RollBack -> malformed(state, "no transaction is open")
        else -> workOf(state, statement) { SessionStep.RunOutsideTransaction(it) }
    }

    private fun workOf(state: SessionState, statement: ClientStatement, run: (DataStatement) -> SessionStep): SessionStep =
        when (statement) {
            is ClientStatement.Run -> run(DataStatement.Plain(statement.access, statement.text))
            is ClientStatement.Execute -> state.prepared[statement.name]?.let { run(DataStatement.Prepared(it, statement.arguments)) }
                ?: SessionStep.Refuse(ErrorKind.PREPARED_UNKNOWN, "the session has no prepared statement ${statement.name}", state)
            is ClientStatement.Prepare -> addName(state, state.prepared.size, statement.name in state.prepared) {
                copy(prepared = prepared.put(statement.name, statement.statement))
            }
            is ClientStatement.SetValue -> addName(state, state.values.size, statement.name in state.values) {
                copy(values = values.put(statement.name, statement.value))
            }
            is ClientStatement.ClosePrepared ->
                SessionStep.Acknowledge(state.copy(prepared = state.prepared.remove(statement.name)))
            is ClientStatement.Unreadable -> malformed(state, statement.detail)
            is ClientStatement.Begin, is ClientStatement.Commit, is ClientStatement.RollBack -> malformed(
                state,
                "a begin, commit or rollback is not accepted here",
            )
        }

    private fun addName(state: SessionState, size: Int, isKnown: Boolean, change: SessionState.() -> SessionState): SessionStep =
        if (size < MAX_NAMES || isKnown) {
            SessionStep.Acknowledge(state.change())
        } else {
            malformed(state, "a session may hold at most $MAX_NAMES values and as many prepared statements")
        }

    private fun malformed(state: SessionState, detail: String) = SessionStep.Refuse(ErrorKind.MALFORMED_REQUEST, detail, state)
}
