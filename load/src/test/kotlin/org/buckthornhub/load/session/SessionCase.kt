package org.buckthornhub.load.session

import org.buckthornhub.load.history.Outcome

/**
 * Answers that a session gets in turn, and what it makes of them.
 *
 * @property numbers number of the statement of each attempt; a resend has the same one
 * @property tokens token that each attempt carries
 * @property epochs epoch of each attempt
 */
internal data class SessionCase(
    val name: String,
    val outcomes: List<Outcome>,
    val numbers: List<Int>,
    val tokens: List<String?>,
    val epochs: List<Int> = numbers.map { 0 },
) {
    override fun toString(): String = name
}
