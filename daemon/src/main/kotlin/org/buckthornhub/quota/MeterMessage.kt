package org.buckthornhub.quota

import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.organisation.OrganisationId

/** What the meter of a daemon is told. */
internal sealed interface MeterMessage {
    /** May [organisation] run one operation at [rate]? The answer is null if so, else the ms to wait. */
    data class Ask(
        val organisation: OrganisationId,
        val rate: MeterRate,
        val answer: CompletableDeferred<Long?>,
    ) : MeterMessage

    data object Tick : MeterMessage
}
