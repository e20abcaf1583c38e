package org.buckthornhub.quota

import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.organisation.OrganisationId

/** Messages handled by [RateLimiterTask]. */
internal sealed interface RateLimiterCommand {
    data class Decide(val message: RateLimiterMessage) : RateLimiterCommand

    /** Requests one operation of [organisation]; [answer] gets null if it is admitted, else the time in ms after which to retry. */
    data class Admit(
        val organisation: OrganisationId,
        val rate: BucketRate,
        val fallbackTokens: FallbackTokens,
        val answer: CompletableDeferred<Long?>,
    ) : RateLimiterCommand
}
