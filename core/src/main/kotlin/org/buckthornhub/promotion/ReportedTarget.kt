package org.buckthornhub.promotion

import org.buckthornhub.fleet.VmId
import org.buckthornhub.lease.TargetReport

/** Last report of a target, and the daemon [owner] that sent it. */
public data class ReportedTarget(
    val report: TargetReport,
    val owner: VmId,
)
