package org.buckthornhub.limit

import org.buckthornhub.fleet.ZoneId

/** A batch request in flight to the share holder of [zone]; [sentMillis] is local monotonic time. */
public data class PendingBatchRequest(
    val zone: ZoneId,
    val sentMillis: Long,
)
