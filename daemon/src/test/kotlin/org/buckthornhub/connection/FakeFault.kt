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
}
