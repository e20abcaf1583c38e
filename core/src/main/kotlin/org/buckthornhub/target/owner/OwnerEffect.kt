package org.buckthornhub.target.owner

import com.github.michaelbull.result.Result
import org.buckthornhub.error.ProxyError
import org.buckthornhub.group.Position
import org.buckthornhub.statement.Answer
import org.buckthornhub.target.TargetCall

/** What the task of an owner carries out. */
public sealed interface OwnerEffect {
    /** Opens a connection for [slot]. */
    public data class Open(val slot: Int) : OwnerEffect

    /** Runs [call] on the connection [name] of [slot]. */
    public data class Execute(
        val slot: Int,
        val name: String,
        val ticket: Long,
        val call: TargetCall,
        val timeoutMillis: Long,
    ) : OwnerEffect

    /** Asks the connection [name] of [slot] whether it still answers, and reports with `Pinged`. */
    public data class Ping(
        val slot: Int,
        val name: String,
        val timeoutMillis: Long,
    ) : OwnerEffect

    /** Closes the connection [name] of [slot]; the target rolls back what is open on it. */
    public data class Close(
        val slot: Int,
        val name: String,
    ) : OwnerEffect

    /** Answers the call named [ticket]. */
    public data class Reply(
        val ticket: Long,
        val result: Result<Answer, ProxyError>,
    ) : OwnerEffect

    /** Asks the target itself after [delayMillis] how far it is, and reports with `TargetHeard`. */
    public data class WatchTarget(val delayMillis: Long) : OwnerEffect

    /** Asks the other instances of the group after [delayMillis] how far they are, and reports with `GroupHeard`. */
    public data class WatchGroup(val delayMillis: Long) : OwnerEffect

    /** Fetches samples newer than [after] from the owner of the primary, and reports with `SamplesHeard`. */
    public data class FetchSamples(val after: Position?) : OwnerEffect

    /** Asks the target itself how far it is, and reports with `Sampled`. */
    public data class SampleTarget(val askedMillis: Long) : OwnerEffect
}
