package org.buckthornhub.connection

import org.buckthornhub.error.ErrorKind

/**
 * Statements of a caller, the faults that they meet, and the expected results.
 *
 * @property answers expected error kind of each statement; null for a successful one
 * @property primaryRan statements of callers that the primary ran
 * @property commits number of commits that took effect on the primary
 */
internal data class SessionCase(
    val name: String,
    val database: String,
    val statements: List<ClientStatement>,
    val answers: List<ErrorKind?>,
    val primaryRan: List<String>,
    val commits: Int = 0,
    val fault: (String) -> FakeFault? = { null },
    val replicaFault: (String) -> FakeFault? = { null },
    val replicaBehind: Boolean = false,
) {
    override fun toString(): String = name
}
