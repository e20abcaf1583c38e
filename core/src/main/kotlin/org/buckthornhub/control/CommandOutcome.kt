package org.buckthornhub.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Outcome of applying one command. Every resend of the command gets the same outcome. */
@Serializable
public sealed interface CommandOutcome {
    /** The change is part of the state since [revision]. */
    @Serializable
    @SerialName("accepted")
    public data class Accepted(val revision: Long) : CommandOutcome

    /** Rejected because of another change; [winner] describes it and the state that it left. */
    @Serializable
    @SerialName("conflict")
    public data class Conflict(val winner: String) : CommandOutcome

    /** Rejected as a whole because of [faults], which lists all errors that were found. */
    @Serializable
    @SerialName("invalid")
    public data class Invalid(val faults: List<String>) : CommandOutcome
}
