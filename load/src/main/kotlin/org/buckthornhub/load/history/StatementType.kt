package org.buckthornhub.load.history

/** What a session asked for. */
public enum class StatementType {
    READ,
    APPEND,
    INSERT,
    ;

    public val isWrite: Boolean get() = this != READ
}
