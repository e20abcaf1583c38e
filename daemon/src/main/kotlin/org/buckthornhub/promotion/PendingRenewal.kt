package org.buckthornhub.promotion

import com.github.michaelbull.result.Result
import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.error.ProxyError
import org.buckthornhub.lease.RenewRequest
import org.buckthornhub.lease.RenewResponse

/** A renewal that waits for the confirmation of a majority. */
internal data class PendingRenewal(
    val request: RenewRequest,
    val reply: CompletableDeferred<Result<RenewResponse, ProxyError>>,
)
