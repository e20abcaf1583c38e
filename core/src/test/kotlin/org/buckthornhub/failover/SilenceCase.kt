package org.buckthornhub.failover

/**
 * A group without a primary from some time on.
 *
 * @property firstReviewMillis when the control leader first looks at it; instances announce themselves from 0 on
 * @property surveyedMillis when its replicas are asked how far they are
 */
internal data class SilenceCase(
    val name: String,
    val firstReviewMillis: Long,
    val ledUntilMillis: Long,
    val surveyedMillis: Long,
) {
    override fun toString(): String = name
}
