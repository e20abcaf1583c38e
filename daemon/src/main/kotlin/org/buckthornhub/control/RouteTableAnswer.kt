package org.buckthornhub.control

/** What came of an operator's order about the route table. */
public sealed interface RouteTableAnswer {
    /** The table, or a newer one, is in force and survives. */
    public data object Accepted : RouteTableAnswer

    /** @property document the newest table as the operator sent it; null if there is none yet */
    public data class Current(val document: String?) : RouteTableAnswer

    /** No majority could be asked; whether an order takes effect is open. */
    public data class Unavailable(val detail: String) : RouteTableAnswer
}
