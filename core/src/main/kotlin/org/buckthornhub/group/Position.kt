package org.buckthornhub.group

import kotlinx.serialization.Serializable

/** A point in the history of a group: positions of different terms compare only through the start of the newer term. */
@Serializable
public data class Position(
    val term: Term,
    val index: LogPosition,
) {
    public companion object {
        public val START: Position = Position(Term.NONE, LogPosition.START)
    }
}
