package org.buckthornhub.connection

import org.buckthornhub.error.ErrorKind
import org.buckthornhub.routetable.RouteTable

/**
 * Statements of a caller before and after a change of the route table, and what they must lead to.
 *
 * @property initial change of the route table before the session opens
 * @property answers expected error kind of each statement after the change; null for a successful one
 * @property phase of the session after the last statement
 * @property ranFor organisations that the statements which the primary ran came for, in order
 */
internal data class KeyMoveCase(
    val name: String,
    val before: List<ClientStatement>,
    val change: RouteTable.() -> RouteTable,
    val after: List<ClientStatement>,
    val answers: List<ErrorKind?>,
    val phase: SessionPhase,
    val ranFor: List<String>,
    val commits: Int = 0,
    val database: String = "latest",
    val initial: RouteTable.() -> RouteTable = { this },
) {
    override fun toString(): String = name
}
