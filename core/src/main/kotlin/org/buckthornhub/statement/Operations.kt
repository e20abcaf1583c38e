package org.buckthornhub.statement

/** Returns the open transaction that this operation belongs to; null for a begin or a single statement. */
public fun Operation.openTransaction(): TransactionId? = when (this) {
    is Operation.Run, is Operation.Begin -> null
    is Operation.RunInTransaction -> transaction
    is Operation.Commit -> transaction
    is Operation.RollBack -> transaction
}

/** Returns true for a read outside any transaction. */
public fun Operation.isRead(): Boolean = this is Operation.Run && statement.access == Access.READ
