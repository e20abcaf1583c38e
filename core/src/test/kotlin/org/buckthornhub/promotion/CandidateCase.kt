package org.buckthornhub.promotion

import org.buckthornhub.lease.TargetReport

/** Answers to a survey of a group whose primary is `t0` in term 3, and the instance to be chosen; null for none. */
internal data class CandidateCase(
    val name: String,
    val answers: List<TargetReport>,
    val chosen: String?,
    val groupSize: Int = 3,
    val reason: PromotionReason = PromotionReason.UNREACHABLE,
    val requested: String? = null,
    val requireMajority: Boolean = true,
) {
    override fun toString(): String = name
}
