package org.buckthornhub.limit

import org.buckthornhub.fleet.ZoneId

/** An ask on its way to the holder of [zone]. */
public data class PendingAsk(
    val zone: ZoneId,
    val sentMillis: Long,
)
