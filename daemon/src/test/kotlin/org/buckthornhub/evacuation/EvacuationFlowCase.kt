package org.buckthornhub.evacuation

import org.buckthornhub.connection.ClientStatement
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.statement.Access

/**
 * A statement of a caller after an order. The group has its primary "a" in zone a and the replica "b" in zone b.
 *
 * @property zones zones that are evacuated
 * @property afterMillis time from the acknowledgement of the order to the statement
 * @property transaction statements that the caller sends before the order
 * @property during what happens shortly after the order
 * @property error error of the answer; null if it is served
 * @property servedBy the instance that runs the statement
 */
internal class EvacuationFlowCase(
    private val name: String,
    val zones: List<String>,
    val afterMillis: Long,
    val statement: ClientStatement = ClientStatement.Run(Access.WRITE, "WRITE 1 x"),
    val database: String = "latest",
    val transaction: List<ClientStatement> = emptyList(),
    val during: suspend EvacuationFleet.() -> Unit = {},
    val error: ErrorKind? = null,
    val servedBy: String? = null,
) {
    override fun toString(): String = name
}
