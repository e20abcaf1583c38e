package org.buckthornhub.load.check

import org.buckthornhub.load.history.Attempt
import org.buckthornhub.target.wire.LogBody

/** A history, and the number of violations of each sort that it holds. */
internal data class CheckCase(
    val name: String,
    val attempts: List<Attempt>,
    val logs: List<LogBody>,
    val right: OrganisationRight? = null,
    val readYourWrites: Int = 0,
    val lostWrites: Int = 0,
    val doubledWrites: Int = 0,
    val misdirectedAnswers: Int = 0,
    val mixedTransactions: Int = 0,
    val wrongfulRefusals: Int = 0,
) {
    override fun toString(): String = name
}
