package org.buckthornhub.connection

import org.buckthornhub.error.ErrorKind

/** The next step for one statement of a session. */
public sealed interface SessionStep {
    /** Completes the statement without a target and moves the session to [state]. */
    public data class Acknowledge(val state: SessionState) : SessionStep

    /** Rejects the statement with [kind] and moves the session to [state]; nothing is sent to a target. */
    public data class Refuse(
        val kind: ErrorKind,
        val detail: String,
        val state: SessionState,
    ) : SessionStep

    /** Begins a transaction; counts as one operation for the rate limit. */
    public data class BeginTransaction(val state: SessionState) : SessionStep

    /** Runs [work] outside any transaction; counts as one operation for the rate limit. */
    public data class RunOutsideTransaction(val work: DataStatement) : SessionStep

    /** Runs [work] in the open transaction. */
    public data class RunInTransaction(
        val work: DataStatement,
        val transaction: TransactionState.Open,
    ) : SessionStep

    public data class CommitTransaction(val transaction: TransactionState.Open) : SessionStep

    public data class RollBackTransaction(val state: SessionState) : SessionStep
}
