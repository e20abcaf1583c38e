package org.buckthornhub.coordination

/** Revisions of everything that open reports wait for. While it stays the same, the leader has nothing new for a daemon. */
internal data class ReportRevision(
    val isLeader: Boolean,
    val controlTerm: Long,
    val tableVersion: Long,
    val directoryRevision: Long,
    val designationRevision: Long,
    val evacuationRevision: Long = 0,
) {
    /** Returns whether the sender of [report] lacks something of this revision. */
    fun isNewTo(report: ProxyReport): Boolean = !isLeader ||
        tableVersion > report.tableVersion ||
        controlTerm != report.controlTerm ||
        directoryRevision != report.directoryRevision ||
        designationRevision > report.designationRevision ||
        evacuationRevision > report.evacuationRevision
}
