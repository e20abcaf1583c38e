package org.buckthornhub.routetable.review

/** A finding about one entry of a route table document. It never contains a key. */
public data class Finding(
    val severity: Severity,
    val entry: EntryReference,
    val text: String,
)
