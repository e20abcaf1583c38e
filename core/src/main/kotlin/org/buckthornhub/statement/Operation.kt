package org.buckthornhub.statement

import org.buckthornhub.group.GroupId

/** The closed list of what a caller may ask for. */
public sealed interface Operation {
    /** The group that it concerns. */
    public val group: GroupId

    /** Runs one statement outside any transaction. */
    public data class Run(val statement: Statement) : Operation {
        override val group: GroupId get() = statement.group
    }

    /** Begins a transaction on the primary of [group]. */
    public data class Begin(override val group: GroupId) : Operation

    /** Runs one statement inside [transaction]. */
    public data class RunInTransaction(
        val transaction: TransactionId,
        val statement: Statement,
    ) : Operation {
        override val group: GroupId get() = statement.group
    }

    /** Commits [transaction]. */
    public data class Commit(
        override val group: GroupId,
        val transaction: TransactionId,
    ) : Operation

    /** Rolls [transaction] back. */
    public data class RollBack(
        override val group: GroupId,
        val transaction: TransactionId,
    ) : Operation
}
