package org.buckthornhub.promotion

import com.github.michaelbull.result.Result
import org.buckthornhub.error.ProxyError

/** Messages handled by [PromotionTask]. */
internal sealed interface PromotionTaskMessage {
    /** Periodic tick. */
    data object Tick : PromotionTaskMessage

    /** A daemon requests a renewal of its leases. */
    data class RenewalReceived(val renewal: PendingRenewal) : PromotionTaskMessage

    /** The result of a leadership confirmation that started at [fromMillis], for the [renewals] that arrived before it. */
    data class LeadershipConfirmed(
        val renewals: List<PendingRenewal>,
        val fromMillis: Long,
        val result: Result<Long, ProxyError>,
    ) : PromotionTaskMessage

    /** Passes [message] to the decider. */
    data class Decide(val message: PromotionMessage) : PromotionTaskMessage
}
