package org.buckthornhub.limit

import com.github.michaelbull.result.Result
import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.error.ProxyError

/** A daemon's request for shares, and the deferred that gets the reply. */
internal class ShareLedgerCall(
    val request: ShareRequest,
    val reply: CompletableDeferred<Result<ShareReply, ProxyError>>,
)
