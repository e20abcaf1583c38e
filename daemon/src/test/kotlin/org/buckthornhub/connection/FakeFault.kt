package org.buckthornhub.connection

/** Fault that one statement meets at an instance. */
internal enum class FakeFault {
    /** The statement runs, but the connection closes before the answer. */
    ANSWER_LOST,

    /** The statement does not run and gets no answer. */
    SILENT,

    /** The instance refuses the statement as too busy. */
    BUSY,

    /** The statement runs and fails. */
    FAILED,

    /** The connection is lost before the statement is sent. */
    NOT_SENT,

    /** The instance refuses the statement because it is not the primary. */
    NOT_LEADING,

    /** The instance refuses the statement as another one than it was meant for. */
    OTHER_INSTANCE,

    /** The instance has lost the prepared statement. */
    PREPARED_UNKNOWN,

    /** The statement runs, and the answer says that it took too long. */
    TIMED_OUT,

    /** The statement runs, and the answer says that its outcome is unknown. */
    IN_DOUBT,

    /** The statement runs, and the answer has a code that the daemon does not know. */
    OTHER_CODE,
}
