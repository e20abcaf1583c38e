package org.buckthornhub.connection

/** What befalls one statement at an instance. */
internal enum class FakeTrouble {
    /** It runs, and the connection ends before the answer. */
    ANSWER_LOST,

    /** It does not run, and nothing comes back. */
    SILENT,

    /** The instance is too busy. */
    BUSY,

    /** It ran and failed. */
    FAILED,
}
