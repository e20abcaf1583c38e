package org.buckthornhub.standin.fault

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.buckthornhub.fleet.ZoneId

/** A change of the faults of one instance: the body of `POST /faults`. */
@Serializable
public sealed interface Fault {
    /** Loses all traffic, replication and announcements, but for those of [servedZone]. */
    @Serializable
    @SerialName("cut_off")
    public data class CutOff(val servedZone: ZoneId? = null) : Fault

    /** Accepts requests and never answers; [announces] keeps its announcements going. */
    @Serializable
    @SerialName("silent")
    public data class Silent(val announces: Boolean = false) : Fault

    /** Connections that are open now go silent for good, while new ones work. */
    @Serializable
    @SerialName("silent_connections")
    public data object SilentConnections : Fault

    /** Takes [statementMillis] more for each statement. */
    @Serializable
    @SerialName("slow")
    public data class Slow(val statementMillis: Long) : Fault

    /** Runs statements at once and answers [answerMillis] later. */
    @Serializable
    @SerialName("late_answers")
    public data class LateAnswers(val answerMillis: Long) : Fault

    /** Gives the answer of the request before. */
    @Serializable
    @SerialName("crossed_answers")
    public data object CrossedAnswers : Fault

    /** Receives entries [receiveMillis] late, and applies them [applyMillis] after that. */
    @Serializable
    @SerialName("lag")
    public data class Lag(
        val receiveMillis: Long = 0,
        val applyMillis: Long = 0,
    ) : Fault

    /** Announces that it leaves, and goes on working. */
    @Serializable
    @SerialName("leaving")
    public data object Leaving : Fault

    /** Closes its port and all connections; the log stays on its disk. */
    @Serializable
    @SerialName("killed")
    public data object Killed : Fault

    /** Starts again after [Killed], as a replica of the term that it was in. */
    @Serializable
    @SerialName("restarted")
    public data object Restarted : Fault

    /** Ends every fault but [Killed]; lags go back to those of the start. */
    @Serializable
    @SerialName("healed")
    public data object Healed : Fault
}
