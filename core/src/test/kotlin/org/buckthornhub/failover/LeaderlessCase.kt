package org.buckthornhub.failover

/**
 * Group that has no primary from [primaryUntilMillis] on.
 *
 * @property firstReviewMillis time of the first check by the control leader; instances announce themselves from 0 on
 * @property surveyedMillis time of the survey of its replicas
 */
internal data class LeaderlessCase(
    val name: String,
    val firstReviewMillis: Long,
    val primaryUntilMillis: Long,
    val surveyedMillis: Long,
) {
    override fun toString(): String = name
}
