package org.buckthornhub.routetable.review

/**
 * A route table document that was read for a review.
 *
 * @property draft null if the document can't be read
 * @property errors what the reader itself refuses, such as a document that can't be parsed
 * @property lines line of each entry of the document, counted from 1
 */
public data class ReviewedDocument(
    val draft: RouteTableDraft?,
    val errors: List<Finding>,
    val lines: Map<EntryReference, Int>,
)
