package org.buckthornhub.promotion

import org.buckthornhub.decision.Decision

/** Next state and effects of a [PromotionDecider]. */
internal typealias PromotionDecision = Decision<PromotionState, PromotionEffect>
