package org.buckthornhub.standin.fault

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.buckthornhub.fleet.ZoneId

/** Fault to inject into one instance: the body of `POST /faults`. */
@Serializable
public sealed interface Fault {
    /** Drops all requests, replication and announcements except those from and to [servedZone]. */
    @Serializable
    @SerialName("cut_off")
    public data class CutOff(val servedZone: ZoneId? = null) : Fault

    /** Accepts requests without answering them; continues to send announcements if [announces] is true. */
    @Serializable
    @SerialName("silent")
    public data class Silent(val announces: Boolean = false) : Fault

    /** Stops answering on all currently open connections; new connections work. */
    @Serializable
    @SerialName("silent_connections")
    public data object SilentConnections : Fault

    /** Delays the execution of each statement by [statementMillis]. */
    @Serializable
    @SerialName("slow")
    public data class Slow(val statementMillis: Long) : Fault

    /** Executes statements without delay and answers [answerMillis] later. */
    @Serializable
    @SerialName("late_answers")
    public data class LateAnswers(val answerMillis: Long) : Fault

    /** Answers each request with the response of the previous one. */
    @Serializable
    @SerialName("crossed_answers")
    public data object CrossedAnswers : Fault

    /** Delays the receipt of log entries by [receiveMillis] and their application by a further [applyMillis]. */
    @Serializable
    @SerialName("lag")
    public data class Lag(
        val receiveMillis: Long = 0,
        val applyMillis: Long = 0,
    ) : Fault

    /** Announces that the instance is leaving; it continues to serve requests. */
    @Serializable
    @SerialName("leaving")
    public data object Leaving : Fault

    /** Closes the port and all connections; the log is kept. */
    @Serializable
    @SerialName("killed")
    public data object Killed : Fault

    /** Restarts the instance after [Killed], as a replica in its last term. */
    @Serializable
    @SerialName("restarted")
    public data object Restarted : Fault

    /** Clears all faults except [Killed] and resets the lags to their initial values. */
    @Serializable
    @SerialName("healed")
    public data object Healed : Fault
}
