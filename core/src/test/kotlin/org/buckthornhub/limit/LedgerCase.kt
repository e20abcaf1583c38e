package org.buckthornhub.limit

/** A sequence of claims to a leader whose term 2 started at 0 ms, with a lease of 1000 ms. */
internal data class LedgerCase(
    val name: String,
    val steps: List<LedgerStep>,
) {
    override fun toString(): String = name
}
