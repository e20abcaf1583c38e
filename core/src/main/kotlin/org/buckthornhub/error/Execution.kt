package org.buckthornhub.error

import kotlinx.serialization.Serializable

/** Whether the statement of a refused request ran. */
@Serializable
public enum class Execution {
    /** Nothing was sent to any target. */
    NOT_RUN,

    /** The target refused it or it was rolled back; it left no trace. */
    NO_EFFECT,

    /** It may have run; the caller has to look before it asks again. */
    UNKNOWN,
}
