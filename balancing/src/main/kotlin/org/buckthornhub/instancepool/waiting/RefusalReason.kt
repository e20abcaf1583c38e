package org.buckthornhub.instancepool.waiting

/** Why a statement got no connection. */
public enum class RefusalReason {
    /** No connection became available in time. */
    EXPIRED,

    /** The estimated wait exceeded the time that the statement may wait. */
    WAIT_TOO_LONG,

    /** The queue was full, and no statement in it was less urgent. */
    QUEUE_FULL,

    /** The queue was full, and a more urgent statement, or one of an organisation with fewer waiting ones, got the place. */
    DISPLACED,

    /** No instance can serve the statement in time, such as while a primary is being replaced. */
    NO_INSTANCE,
}
