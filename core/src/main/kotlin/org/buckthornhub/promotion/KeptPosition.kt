package org.buckthornhub.promotion

import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.LogPosition
import org.buckthornhub.lease.TargetReport

/**
 * [report] without the entries that were lost at the start of a newer term.
 *
 * What is left of each instance is a prefix of one history, so that positions compare across terms: the term of an
 * instance alone says nothing, since it takes a new term before it has any entry of it.
 */
internal fun GroupLeadership.kept(report: TargetReport): TargetReport {
    val nextTerm = (earlierStarts.keys + term).filter { it > report.term }.minOrNull() ?: return report
    val nextStart = if (nextTerm == term) termStart else earlierStarts.getValue(nextTerm)
    val last = LogPosition(nextStart.value - 1)
    return if (report.received > last) report.copy(received = last) else report
}
