package org.buckthornhub.instancepool

import com.github.michaelbull.result.Result
import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.connection.TargetLink
import org.buckthornhub.error.ProxyError
import org.buckthornhub.instancepool.waiting.HoldKind
import org.buckthornhub.instancepool.waiting.ReturnCause
import org.buckthornhub.instancepool.waiting.WaitTerms

/** Messages handled by [PoolTask]. */
internal sealed interface PoolCommand {
    data class Decide(val message: PoolMessage) : PoolCommand

    /** Requests a connection; [reply] gets the connection or the reason for the refusal. */
    data class Acquire(
        val request: ConnectionRequest,
        val requestedMillis: Long,
        val deadlineMillis: Long,
        val terms: WaitTerms?,
        val reply: CompletableDeferred<Result<TargetLease, ProxyError>>,
    ) : PoolCommand

    /** The link of [connection] has been opened. */
    data class LinkOpened(
        val connection: ConnectionId,
        val link: TargetLink,
        val message: PoolMessage.Opened,
    ) : PoolCommand

    /** Requests the time in ms after which a caller that was refused for [cause] is to return. */
    data class ReturnAfter(
        val kind: HoldKind?,
        val cause: ReturnCause,
        val maxMillis: Long,
        val reply: CompletableDeferred<Long>,
    ) : PoolCommand
}
