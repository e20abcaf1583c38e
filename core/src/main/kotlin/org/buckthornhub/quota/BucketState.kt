package org.buckthornhub.quota

/** Tokens of one organisation in a bucket, as of [atMillis] (local monotonic ms). */
public data class BucketState(
    val tokens: Double,
    val atMillis: Long,
)
