package org.buckthornhub.routetable

import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupId

/**
 * Maps a database to a group and sets how its sessions are served.
 *
 * @property statementTimeoutMillis timeout of one statement
 * @property objectiveMillis latency objective of a whole operation
 * @property priority order of waiting requests; 0 is served first
 * @property maxAttempts maximum number of targets that one read may be sent to
 * @property isAnonymous true if callers need no key
 */
@Serializable
public data class DatabaseRoute(
    val name: String,
    val database: DatabaseName,
    val group: GroupId,
    val guarantee: ReadGuarantee,
    val statementTimeoutMillis: Long,
    val objectiveMillis: Long,
    val priority: Int = 0,
    val maxAttempts: Int = 2,
    val isAnonymous: Boolean = false,
)
