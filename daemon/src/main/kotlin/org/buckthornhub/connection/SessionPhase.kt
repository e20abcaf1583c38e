package org.buckthornhub.connection

/** Transaction status of a connection, sent with each answer. */
public enum class SessionPhase {
    IDLE,
    IN_TRANSACTION,
    FAILED,
}
