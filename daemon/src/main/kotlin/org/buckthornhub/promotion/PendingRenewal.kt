package org.buckthornhub.promotion

import com.github.michaelbull.result.Result
import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.error.ProxyError
import org.buckthornhub.lease.RenewRequest
import org.buckthornhub.lease.RenewResponse

/** A lease renewal that waits until a majority has confirmed the leadership of this VM. */
internal data class PendingRenewal(
    val request: RenewRequest,
    val reply: CompletableDeferred<Result<RenewResponse, ProxyError>>,
)
