package org.buckthornhub.failover

/** Outcome of a promotion order. */
public enum class PromotionOutcome {
    /** The instance leads its group. */
    DONE,

    /** The instance is not running, or has already accepted an order of a newer control leader. */
    REFUSED,

    /** No answer arrived: the order may still take effect. */
    UNKNOWN,
}
