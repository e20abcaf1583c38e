package org.buckthornhub.instancepool

import com.github.michaelbull.result.Result
import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.connection.TargetLink
import org.buckthornhub.error.ProxyError

/** What the task of the pool is told. */
internal sealed interface PoolCommand {
    data class Decide(val message: PoolMessage) : PoolCommand

    data class Acquire(
        val request: ConnectionRequest,
        val askedMillis: Long,
        val deadlineMillis: Long,
        val answer: CompletableDeferred<Result<TargetLease, ProxyError>>,
    ) : PoolCommand

    /** The link of [connection] is open. */
    data class LinkOpened(
        val connection: ConnectionId,
        val link: TargetLink,
        val message: PoolMessage.Opened,
    ) : PoolCommand
}
