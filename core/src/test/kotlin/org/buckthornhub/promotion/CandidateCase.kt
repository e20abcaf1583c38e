package org.buckthornhub.promotion

import org.buckthornhub.lease.TargetReport

/** The answers to a survey of a group that `t0` leads in term 3, and who has to be chosen; null for nobody. */
internal data class CandidateCase(
    val name: String,
    val answers: List<TargetReport>,
    val chosen: String?,
    val instances: Int = 3,
    val reason: PromotionReason = PromotionReason.UNREACHABLE,
    val wanted: String? = null,
    val requireMajority: Boolean = true,
) {
    override fun toString(): String = name
}
