package org.buckthornhub.connection

/** Reason why a target refused a statement. @property mayHaveRun whether the statement may have had an effect */
public enum class TargetRefusal(public val mayHaveRun: Boolean) {
    BUSY(mayHaveRun = false),
    TOO_MANY_CONNECTIONS(mayHaveRun = false),
    BEHIND(mayHaveRun = false),
    NOT_LEADING(mayHaveRun = false),
    OTHER_INSTANCE(mayHaveRun = false),
    PREPARED_UNKNOWN(mayHaveRun = false),
    ABORTED(mayHaveRun = false),
    MALFORMED(mayHaveRun = false),
    FAILED(mayHaveRun = true),
    TIMED_OUT(mayHaveRun = true),
    IN_DOUBT(mayHaveRun = true),
    OTHER(mayHaveRun = true),
}
