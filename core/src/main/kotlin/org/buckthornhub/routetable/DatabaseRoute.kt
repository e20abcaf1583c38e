package org.buckthornhub.routetable

import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupId

/**
 * What happens to sessions of one database.
 *
 * @property statementTimeoutMillis limit of one statement
 * @property objectiveMillis latency that callers are promised for a whole operation
 * @property priority 0 is served first
 * @property maxAttempts targets that one read may be sent to
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
