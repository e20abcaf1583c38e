package org.buckthornhub.routetable.review

import org.buckthornhub.routetable.RouteTable

/**
 * A draft and what the review says of it.
 *
 * @property findings each as `SEVERITY KIND index text`
 */
internal data class ReviewCase(
    val name: String,
    val draft: RouteTableDraft,
    val findings: List<String>,
    val inForce: RouteTable? = null,
) {
    override fun toString(): String = name
}
