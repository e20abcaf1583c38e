package org.buckthornhub.statement

import kotlinx.serialization.Serializable

/** Whether a statement reads or writes data. */
@Serializable
public enum class Access {
    READ,
    WRITE,
}
