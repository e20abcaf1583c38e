package org.buckthornhub.connection

/** Why a target did not do what it was asked. @property hasRun whether the statement may have had an effect */
public enum class TargetRefusal(public val hasRun: Boolean) {
    BUSY(hasRun = false),
    TOO_MANY_CONNECTIONS(hasRun = false),
    BEHIND(hasRun = false),
    NOT_LEADING(hasRun = false),
    OTHER_INSTANCE(hasRun = false),
    PREPARED_UNKNOWN(hasRun = false),
    ABORTED(hasRun = false),
    MALFORMED(hasRun = false),
    FAILED(hasRun = true),
    TIMED_OUT(hasRun = true),
    IN_DOUBT(hasRun = true),
    OTHER(hasRun = true),
}
