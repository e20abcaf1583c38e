package org.buckthornhub.quota

import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.organisation.OrganisationId

/** What the task of a daemon's meters is told. */
internal sealed interface MeterCommand {
    data class Decide(val message: RateLimiterMessage) : MeterCommand

    /** May [organisation] run one operation? The answer is null if so, else the ms to wait. */
    data class Admit(
        val organisation: OrganisationId,
        val rate: BucketRate,
        val answer: CompletableDeferred<Long?>,
    ) : MeterCommand
}
