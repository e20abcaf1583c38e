package org.buckthornhub.promotion

import org.buckthornhub.decision.Decision

/** What a control leader decides about leases and promotions. */
internal typealias PromotionDecision = Decision<PromotionState, PromotionEffect>
