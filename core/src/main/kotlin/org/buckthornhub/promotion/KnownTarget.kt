package org.buckthornhub.promotion

import org.buckthornhub.fleet.VmId
import org.buckthornhub.lease.TargetReport

/** A target as [owner] last reported it. */
public data class KnownTarget(
    val report: TargetReport,
    val owner: VmId,
)
