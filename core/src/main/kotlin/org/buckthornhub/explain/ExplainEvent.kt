package org.buckthornhub.explain

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetId

/** An event of a group that `explain` shows. */
@Serializable
public sealed interface ExplainEvent {
    public val group: GroupId

    /** Wall time of the event in ms since 1970. */
    public val atWallMillis: Long

    /**
     * The primary of a group was replaced.
     *
     * @property detectMillis time from the last contact with the old primary to the decision to replace it
     * @property fenceMillis time from that decision until the old lease was guaranteed to have expired
     * @property promoteMillis time from that expiry until the new primary led
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

    /** Any other event, described in [what]. */
    @Serializable
    @SerialName("noted")
    public data class Other(
        override val group: GroupId,
        override val atWallMillis: Long,
        val what: String,
    ) : ExplainEvent
}
