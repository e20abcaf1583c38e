package org.buckthornhub.target.wire

import kotlinx.serialization.Serializable

/** Action that a target executes on a connection. */
@Serializable
public enum class WireAction {
    READ,
    WRITE,
    BEGIN,
    COMMIT,
    ROLL_BACK,
}
