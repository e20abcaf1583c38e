package org.buckthornhub.failover

/** What came back for an order to promote. */
public enum class PromotionOutcome {
    DONE,

    /** The instance does not run, or a newer holder has given orders. */
    REFUSED,

    /** No answer: the order may still be carried out. */
    UNKNOWN,
}
