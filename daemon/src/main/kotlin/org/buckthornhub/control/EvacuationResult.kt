package org.buckthornhub.control

/** Result of an operator's request about evacuations. */
public sealed interface EvacuationResult {
    /** The order is committed and durable on a majority. */
    public data object Accepted : EvacuationResult

    /** The evacuations that a majority has confirmed as current. */
    public data class Current(val evacuations: Evacuations) : EvacuationResult

    /** The name of the zone is invalid; nothing was changed. */
    public data class Invalid(val detail: String) : EvacuationResult

    /** The state does not allow the order; nothing was changed. */
    public data class Refused(val detail: String) : EvacuationResult

    /** No majority could be reached in time; an order may still take effect. */
    public data class Unavailable(val detail: String) : EvacuationResult
}
