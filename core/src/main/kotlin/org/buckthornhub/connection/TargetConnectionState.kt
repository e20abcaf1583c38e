package org.buckthornhub.connection

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.organisation.OrganisationId

/**
 * State that earlier sessions have left on a target connection.
 *
 * @property values acknowledged by the target, by name
 * @property prepared name of each prepared statement on this connection
 * @property preparedCount statements ever prepared on this connection; numbers their names, so that none is reused
 */
public data class TargetConnectionState(
    val organisation: OrganisationId,
    val values: PersistentMap<String, String> = persistentMapOf(),
    val prepared: PersistentMap<PreparedStatement, String> = persistentMapOf(),
    val preparedCount: Int = 0,
)
