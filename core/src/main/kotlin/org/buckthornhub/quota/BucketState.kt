package org.buckthornhub.quota

/** Tokens of one organisation at one daemon, as of [atMillis] (local monotonic ms). */
public data class MeterState(
    val tokens: Double,
    val atMillis: Long,
)
