package org.buckthornhub.group

import kotlinx.serialization.Serializable

/** Position in the log of a group. Positions of different terms can be compared only if the start of the newer term is known. */
@Serializable
public data class Position(
    val term: Term,
    val index: LogPosition,
) {
    public companion object {
        public val START: Position = Position(Term.NONE, LogPosition.START)
    }
}
