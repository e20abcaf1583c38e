package org.buckthornhub.instancepool

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Refusals of a group by reason since the line that was logged at [loggedMillis]. */
internal data class LoggedRefusals(
    val loggedMillis: Long,
    val counts: PersistentMap<String, Int> = persistentMapOf(),
)
