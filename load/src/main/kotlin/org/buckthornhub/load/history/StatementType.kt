package org.buckthornhub.load.history

/** What a session asked for. */
public enum class StatementType {
    READ,
    APPEND,
    INSERT,
    BEGIN,
    IN_TRANSACTION,
    COMMIT,
    ROLL_BACK,
    ;

    /** True if its answer acknowledges a write. */
    public val isWrite: Boolean get() = this == APPEND || this == INSERT || this == COMMIT
}
