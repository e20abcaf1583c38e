package org.buckthornhub.connection

/** What a connection says of its transaction after each answer. */
public enum class SessionPhase {
    IDLE,
    IN_TRANSACTION,
    FAILED,
}
