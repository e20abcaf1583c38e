package org.buckthornhub.load.check

/** What an organisation may send: [burst] statements at once and [ratePerSecond] after that. */
public data class OrganisationRight(
    val organisation: String,
    val ratePerSecond: Double,
    val burst: Int,
)
