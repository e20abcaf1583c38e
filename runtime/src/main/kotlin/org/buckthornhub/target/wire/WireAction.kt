package org.buckthornhub.target.wire

import kotlinx.serialization.Serializable

/** What a connection of a target is asked to do. */
@Serializable
public enum class WireAction {
    READ,
    WRITE,
    BEGIN,
    COMMIT,
    ROLL_BACK,
}
