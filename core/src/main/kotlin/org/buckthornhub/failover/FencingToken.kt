package org.buckthornhub.failover

/** Token by which the platform refuses orders that are carried out after newer ones. */
public object FencingToken {
    /** Orders of one leader for one group that have a token of their own; later ones share the last token of the term. */
    public const val ORDERS_PER_TERM: Int = 10_000

    /**
     * Returns the token of [order], counted from 0, of the control leader of [term].
     *
     * It grows with each order, as one that got no answer may still be carried out. Terms have no token in common.
     */
    public fun of(term: Long, order: Int): Long = term * ORDERS_PER_TERM + order.coerceIn(0, ORDERS_PER_TERM - 1)
}
