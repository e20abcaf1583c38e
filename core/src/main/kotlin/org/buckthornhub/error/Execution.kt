package org.buckthornhub.error

import kotlinx.serialization.Serializable

/** Whether the statement of a failed request ran. */
@Serializable
public enum class Execution {
    /** Nothing was sent to a target. */
    NOT_RUN,

    /** The target rejected the statement or rolled it back; it changed no data. */
    NO_EFFECT,

    /** The statement may have run; the caller has to check the data before it repeats a write. */
    UNKNOWN,
}
