package org.buckthornhub.statement

import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupId

/** An operation that a caller may request. */
@Serializable
public sealed interface Operation {
    /** The group whose data the operation uses. */
    public val group: GroupId

    /** Runs one statement outside any transaction. */
    @Serializable
    public data class Run(val statement: Statement) : Operation {
        override val group: GroupId get() = statement.group
    }

    /** Begins a transaction on the primary of [group]. */
    @Serializable
    public data class Begin(override val group: GroupId) : Operation

    /** Runs one statement inside [transaction]. */
    @Serializable
    public data class RunInTransaction(
        val transaction: TransactionId,
        val statement: Statement,
    ) : Operation {
        override val group: GroupId get() = statement.group
    }

    /** Commits [transaction]. */
    @Serializable
    public data class Commit(
        override val group: GroupId,
        val transaction: TransactionId,
    ) : Operation

    /** Rolls [transaction] back. */
    @Serializable
    public data class RollBack(
        override val group: GroupId,
        val transaction: TransactionId,
    ) : Operation
}
