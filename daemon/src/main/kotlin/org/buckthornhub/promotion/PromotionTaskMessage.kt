package org.buckthornhub.promotion

import com.github.michaelbull.result.Result
import org.buckthornhub.error.ProxyError

/** What the task of the control leader is told. */
internal sealed interface PromotionTaskMessage {
    /** Time has passed. */
    data object Tick : PromotionTaskMessage

    /** A daemon wants to renew. */
    data class Arrived(val renewal: PendingRenewal) : PromotionTaskMessage

    /** Whether a majority has confirmed this VM's lead since [fromMillis], for the renewals that had come before. */
    data class Confirmed(
        val renewals: List<PendingRenewal>,
        val fromMillis: Long,
        val result: Result<Long, ProxyError>,
    ) : PromotionTaskMessage

    /** For the decider. */
    data class Decide(val message: PromotionMessage) : PromotionTaskMessage
}
