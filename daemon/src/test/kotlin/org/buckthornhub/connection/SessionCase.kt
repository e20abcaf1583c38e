package org.buckthornhub.connection

import org.buckthornhub.error.ErrorKind

/**
 * What a caller sends, what befalls the statements, and what comes of it.
 *
 * @property answers by statement: the error kind, or null for an answer
 * @property leaderRan what the leader ran for callers
 * @property commits that took effect at the leader
 */
internal data class SessionCase(
    val name: String,
    val database: String,
    val statements: List<ClientStatement>,
    val answers: List<ErrorKind?>,
    val leaderRan: List<String>,
    val commits: Int = 0,
    val trouble: (String) -> FakeTrouble? = { null },
    val replicaTrouble: (String) -> FakeTrouble? = { null },
    val replicaBehind: Boolean = false,
) {
    override fun toString(): String = name
}
