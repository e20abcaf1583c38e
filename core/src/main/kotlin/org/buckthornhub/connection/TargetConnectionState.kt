package org.buckthornhub.connection

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.organisation.OrganisationId

/**
 * What a target connection holds from the sessions that used it.
 *
 * @property values as acknowledged by the target
 * @property prepared names on this connection
 * @property preparedCount names ever prepared, so that none is used twice
 */
public data class TargetConnectionState(
    val organisation: OrganisationId,
    val values: PersistentMap<String, String> = persistentMapOf(),
    val prepared: PersistentMap<PreparedStatement, String> = persistentMapOf(),
    val preparedCount: Int = 0,
)
