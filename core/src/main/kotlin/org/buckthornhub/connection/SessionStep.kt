package org.buckthornhub.connection

import org.buckthornhub.error.ErrorKind

/** What to do about one statement of a session. */
public sealed interface SessionStep {
    /** Nothing has to be sent: the session gets its answer, and stands at [state]. */
    public data class Acknowledge(val state: SessionState) : SessionStep

    /** Refused without an effect. */
    public data class Refuse(
        val kind: ErrorKind,
        val detail: String,
        val state: SessionState,
    ) : SessionStep

    /** A new transaction of the caller; counts as one operation. */
    public data class BeginTransaction(val state: SessionState) : SessionStep

    /** Runs outside any transaction; counts as one operation. */
    public data class RunAlone(val work: TargetWork) : SessionStep

    /** Runs in the open transaction. */
    public data class RunInTransaction(
        val work: TargetWork,
        val transaction: TransactionState.Open,
    ) : SessionStep

    public data class CommitTransaction(val transaction: TransactionState.Open) : SessionStep

    public data class RollBackTransaction(val state: SessionState) : SessionStep
}
