package org.buckthornhub.coordination

import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.fleet.VmId
import org.buckthornhub.target.TargetId

/** What the task that reports to the control quorum is told. */
internal sealed interface ReportMessage {
    /** Ask the next control VM. */
    data object Ask : ReportMessage

    /** @property asked time before the question was sent */
    data class Answered(
        val from: VmId,
        val asked: FreshProof,
        val news: ProxyReportAnswer,
    ) : ReportMessage

    data class Failed(
        val from: VmId,
        val detail: String,
    ) : ReportMessage

    /** The leaders that give this daemon no answer are others now. */
    data class Unreachable(val targets: Set<TargetId>) : ReportMessage

    /** Ask the control leader for tokens; the answer is null if it gave none in time. */
    data class Draw(
        val request: ReserveRequest,
        val answer: CompletableDeferred<ReserveGrant?>,
    ) : ReportMessage

    /** The VMs that the settings name as introducers. */
    data class Introducers(val vms: List<VmId>) : ReportMessage
}
