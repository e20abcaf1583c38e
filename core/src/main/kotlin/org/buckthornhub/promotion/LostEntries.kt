package org.buckthornhub.promotion

import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.LogPosition
import org.buckthornhub.lease.TargetReport

/**
 * Returns [report] with its position limited to the entries that survived the start of the next term.
 *
 * The remaining entries of every instance are a prefix of the same log, so positions of different terms can be compared.
 * The term of an instance alone does not order it, because an instance adopts a new term before it receives entries of it.
 */
internal fun GroupLeadership.withoutLostEntries(report: TargetReport): TargetReport {
    val nextTerm = (earlierStarts.keys + term).filter { it > report.term }.minOrNull() ?: return report
    val nextStart = if (nextTerm == term) termStart else earlierStarts.getValue(nextTerm)
    val last = LogPosition(nextStart.value - 1)
    return if (report.received > last) report.copy(received = last) else report
}
