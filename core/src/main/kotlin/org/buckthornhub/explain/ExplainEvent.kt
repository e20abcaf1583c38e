package org.buckthornhub.explain

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetId

/** Something that happened to a group, for `explain`. */
@Serializable
public sealed interface ExplainEvent {
    public val group: GroupId

    /** Calendar time. */
    public val atWallMillis: Long

    /**
     * The primary of a group was replaced.
     *
     * @property detectMillis from the last sign of the old primary to the decision to replace it
     * @property fenceMillis until the old lease had surely ended
     * @property promoteMillis from then until the new primary led
     */
    @Serializable
    @SerialName("primary-replaced")
    public data class PrimaryReplaced(
        override val group: GroupId,
        override val atWallMillis: Long,
        val term: Term,
        val from: TargetId?,
        val to: TargetId,
        val reason: String,
        val detectMillis: Long,
        val fenceMillis: Long,
        val promoteMillis: Long,
    ) : ExplainEvent

    /** Anything else that an operator may ask about. */
    @Serializable
    @SerialName("noted")
    public data class Noted(
        override val group: GroupId,
        override val atWallMillis: Long,
        val what: String,
    ) : ExplainEvent
}
