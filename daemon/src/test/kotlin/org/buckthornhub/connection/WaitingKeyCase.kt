package org.buckthornhub.connection

import org.buckthornhub.error.ErrorKind
import org.buckthornhub.routetable.RouteTable

/**
 * Statements of a caller whose last one is under way when the route table changes.
 *
 * @property answer expected error kind of the last statement; null if it succeeds
 * @property ranFor organisations that the caller's statements ran for
 * @property fault of the caller's first attempt, during which the table changes; null if it changes while the statement waits
 * @property hasReplica true if there is a replica too, at which the statement meets its fault
 */
internal data class WaitingKeyCase(
    val name: String,
    val statements: List<ClientStatement>,
    val change: RouteTable.() -> RouteTable,
    val answer: ErrorKind?,
    val ranFor: List<String> = emptyList(),
    val database: String = "latest",
    val initial: RouteTable.() -> RouteTable = { this },
    val fault: FakeFault? = null,
    val hasReplica: Boolean = false,
) {
    override fun toString(): String = name
}
