package org.buckthornhub.limit

/** A run of claims at a leader that began at 0 ms with term 2 and a lease of 1000 ms. */
internal data class LedgerCase(
    val name: String,
    val steps: List<LedgerStep>,
) {
    override fun toString(): String = name
}
