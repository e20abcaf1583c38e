package org.buckthornhub.routetable.review

import org.buckthornhub.routetable.RouteTable

/** Checks a route table before it is sent, and reports all findings at once. */
public object RouteTableReview {
    /** Returns the errors for which the table would be refused. */
    public fun errorsIn(draft: RouteTableDraft): List<Finding> = InvalidEntries.findingsIn(draft)

    /** Returns all findings; with [inForce], the table that applies now, also what changes. */
    public fun findingsIn(draft: RouteTableDraft, inForce: RouteTable?): List<Finding> {
        val rules = listOf(InvalidEntries, UnreachableEntries, ContradictoryLimits) + listOfNotNull(inForce?.let { TableChanges(it) })
        return rules.flatMap { it.findingsIn(draft) }
    }
}
