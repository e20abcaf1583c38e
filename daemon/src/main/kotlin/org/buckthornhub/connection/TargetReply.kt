package org.buckthornhub.connection

import org.buckthornhub.group.Position

/** Complete answer of a target to one statement. */
public sealed interface TargetReply {
    public val phase: SessionPhase

    /** Log position of the target; null if the answer contains none. */
    public val position: Position?

    public data class Completed(
        val rows: List<String>,
        val signature: String?,
        override val phase: SessionPhase,
        override val position: Position?,
    ) : TargetReply

    public data class Refused(
        val refusal: TargetRefusal,
        val detail: String,
        override val phase: SessionPhase,
        override val position: Position?,
    ) : TargetReply
}
