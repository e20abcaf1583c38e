package org.buckthornhub.routetable.review

/** One rule that a route table is checked against. */
internal fun interface DraftRule {
    fun findingsIn(draft: RouteTableDraft): List<Finding>
}
