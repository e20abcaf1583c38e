package org.buckthornhub.coordination

import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.fleet.VmId
import org.buckthornhub.target.TargetId

/** Messages handled by [ReportTask]. */
internal sealed interface ReportMessage {
    /** Sends a report to the next control VM. */
    data object SendReport : ReportMessage

    /**
     * A control VM has replied to a report.
     *
     * @property sentAt time before the report was sent
     * @property receivedAt time after the reply arrived
     */
    data class ReplyReceived(
        val from: VmId,
        val sentAt: ClockReading,
        val receivedAt: ClockReading,
        val reply: ProxyReportAnswer,
    ) : ReportMessage

    data class RequestFailed(
        val from: VmId,
        val detail: String,
    ) : ReportMessage

    /** The set of primaries that do not answer this daemon has changed. */
    data class UnreachableChanged(val targets: Set<TargetId>) : ReportMessage

    /** Requests tokens from the reserve of the control leader; [answer] completes with null if no reply arrives in time. */
    data class RequestReserve(
        val request: ReserveRequest,
        val answer: CompletableDeferred<ReserveGrant?>,
    ) : ReportMessage

    /** The VMs that the settings name as introducers, used until the control VMs are known. */
    data class Introducers(val vms: List<VmId>) : ReportMessage
}
