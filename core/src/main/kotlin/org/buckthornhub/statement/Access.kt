package org.buckthornhub.statement

import kotlinx.serialization.Serializable

/** What a statement does to the data. */
@Serializable
public enum class Access {
    READ,
    WRITE,
}
