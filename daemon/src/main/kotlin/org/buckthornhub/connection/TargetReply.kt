package org.buckthornhub.connection

import org.buckthornhub.group.Position

/** The whole answer of a target to one statement. */
public sealed interface TargetReply {
    public val phase: SessionPhase

    /** Where the target's log stood; null if it did not say. */
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
