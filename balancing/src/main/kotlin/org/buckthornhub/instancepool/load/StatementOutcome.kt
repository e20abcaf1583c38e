package org.buckthornhub.instancepool.load

/** How an instance dealt with a statement. */
public enum class StatementOutcome {
    SERVED,

    /** A connection was opened. It waited for a slot as a statement does, but does not show that statements are served. */
    CONNECTED,

    /** The slots of the instance were busy and its queue full; the statement did not run. */
    BUSY,

    /** The instance failed to run the statement, or gave no answer. */
    FAILED,
}
