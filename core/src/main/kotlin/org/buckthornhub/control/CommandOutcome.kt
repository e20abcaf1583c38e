package org.buckthornhub.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What applying one command came to; the same for every resend of it. */
@Serializable
public sealed interface CommandOutcome {
    /** In the state since [revision]. */
    @Serializable
    @SerialName("accepted")
    public data class Accepted(val revision: Long) : CommandOutcome

    /** Another change came first; [winner] says which and what it left. */
    @Serializable
    @SerialName("conflict")
    public data class Conflict(val winner: String) : CommandOutcome

    /** Refused whole, with every fault named. */
    @Serializable
    @SerialName("invalid")
    public data class Invalid(val faults: List<String>) : CommandOutcome
}
