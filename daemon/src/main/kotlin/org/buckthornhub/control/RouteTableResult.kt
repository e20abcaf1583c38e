package org.buckthornhub.control

/** Result of an operator's request about the route table. */
public sealed interface RouteTableResult {
    /** The table of [version], or a newer one, is committed and durable on a majority. */
    public data class Accepted(val version: Long) : RouteTableResult

    /** The document is invalid, for all the reasons in [errors], and changes nothing. */
    public data class Invalid(val errors: List<String>) : RouteTableResult

    /**
     * The current table.
     *
     * @property document the newest table as the operator sent it; null if there is none yet
     */
    public data class Current(val document: String?) : RouteTableResult

    /** No majority could be reached; a requested change may still take effect. */
    public data class Unavailable(val detail: String) : RouteTableResult
}
