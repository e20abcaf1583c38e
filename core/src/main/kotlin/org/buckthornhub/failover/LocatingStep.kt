package org.buckthornhub.failover

import org.buckthornhub.decision.Decision

/**
 * Step of the search for the replicas that hold every acknowledged commit.
 *
 * @property choice the instance to promote, if the search has ended with one
 */
internal data class LocatingStep(
    val decision: Decision<FailoverState, FailoverEffect>,
    val choice: PromotionChoice? = null,
)
