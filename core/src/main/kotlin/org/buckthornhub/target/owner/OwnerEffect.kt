package org.buckthornhub.target.owner

import com.github.michaelbull.result.Result
import org.buckthornhub.error.ProxyError
import org.buckthornhub.group.Position
import org.buckthornhub.statement.Answer
import org.buckthornhub.target.TargetCall

/** Side effects that the task of an owner carries out. */
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

    /** Checks whether the connection [name] of [slot] still answers; the result is an [OwnerMessage.Pinged]. */
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

    /** Completes the call [ticket] with [result]. */
    public data class Reply(
        val ticket: Long,
        val result: Result<Answer, ProxyError>,
    ) : OwnerEffect

    /** Requests the progress of the target after [delayMillis]; the result is an [OwnerMessage.TargetProgress]. */
    public data class PollTarget(val delayMillis: Long) : OwnerEffect

    /** Requests the progress of the group's other instances after [delayMillis]; the result is an [OwnerMessage.GroupProgress]. */
    public data class PollGroup(val delayMillis: Long) : OwnerEffect

    /** Fetches samples newer than [after] from the owner of the primary; the result is an [OwnerMessage.SamplesFetched]. */
    public data class FetchSamples(val after: Position?) : OwnerEffect

    /** Requests the progress of the target as a sample of [askedMillis]; the result is an [OwnerMessage.Sampled]. */
    public data class SampleTarget(val askedMillis: Long) : OwnerEffect
}
