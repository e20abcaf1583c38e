package org.buckthornhub.statement

/** The transaction that this operation runs in; null if it needs none that is open. */
public fun Operation.openTransaction(): TransactionId? = when (this) {
    is Operation.Run, is Operation.Begin -> null
    is Operation.RunInTransaction -> transaction
    is Operation.Commit -> transaction
    is Operation.RollBack -> transaction
}

/** True for a read outside any transaction. */
public fun Operation.isRead(): Boolean = this is Operation.Run && statement.access == Access.READ
