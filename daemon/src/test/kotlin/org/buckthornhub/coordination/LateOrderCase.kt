package org.buckthornhub.coordination

import org.buckthornhub.failover.PromotionOutcome

/** Answers to the orders of a control leader; the platform carries out an order without an answer after all the others. */
internal data class LateOrderCase(
    val name: String,
    val ordered: List<String>,
    val answers: List<PromotionOutcome>,
) {
    override fun toString(): String = name
}
