package org.buckthornhub.control

/** Result of an operator's request about the route table. */
public sealed interface RouteTableResult {
    /** The table, or a newer one, is committed and durable on a majority. */
    public data object Accepted : RouteTableResult

    /**
     * The current table.
     *
     * @property document the newest table as the operator sent it; null if there is none yet
     */
    public data class Current(val document: String?) : RouteTableResult

    /** No majority could be reached; a requested change may still take effect. */
    public data class Unavailable(val detail: String) : RouteTableResult
}
