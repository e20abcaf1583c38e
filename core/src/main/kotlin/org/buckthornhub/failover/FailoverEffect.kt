package org.buckthornhub.failover

import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetId

/** Effects that [FailoverDecider] requests from its task. */
public sealed interface FailoverEffect {
    /** Requests the status of [target]; the answer arrives as [FailoverMessage.Surveyed]. */
    public data class Survey(
        val group: GroupId,
        val target: TargetId,
    ) : FailoverEffect

    /**
     * Requests the status of [target], where a replica has received each acknowledged commit; the answer arrives as
     * [FailoverMessage.HolderAnswered].
     *
     * @property round number of the round of questions, which the answer returns
     * @property pauseIn term for which the replica first stops receiving commits; null if it goes on
     */
    public data class SurveyHolder(
        val group: GroupId,
        val target: TargetId,
        val round: Long,
        val pauseIn: Term? = null,
    ) : FailoverEffect

    /** Makes the replica [target] receive commits again; the result arrives as [FailoverMessage.Resumed]. */
    public data class Resume(
        val group: GroupId,
        val target: TargetId,
    ) : FailoverEffect

    /**
     * Orders [target] to lead [group] after [delayMillis]; the result arrives as [FailoverMessage.PromotionAttempted].
     *
     * @property order number of the order among those of this leader for [group], from 0; a repetition has the same number
     */
    public data class Promote(
        val group: GroupId,
        val target: TargetId,
        val delayMillis: Long,
        val order: Int = 0,
    ) : FailoverEffect

    /** Commits that only [target] may lead [group]; the result arrives as [FailoverMessage.Designated]. */
    public data class Designate(
        val group: GroupId,
        val target: TargetId,
        val expected: Long,
    ) : FailoverEffect

    /** Makes the primary [target] give up its role before [term]; a success arrives as [FailoverMessage.PrimaryStopped]. */
    public data class StopPrimary(
        val group: GroupId,
        val target: TargetId,
        val term: Term,
    ) : FailoverEffect

    /** Logs [event] and its [reason]. */
    public data class LogEvent(
        val group: GroupId,
        val event: String,
        val reason: String,
    ) : FailoverEffect
}
