package org.buckthornhub.connection

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.buckthornhub.error.ProxyError

/** Failure of a statement. @property attempts the attempts in order; empty if the statement was refused before any */
internal data class StatementFailure(
    val error: ProxyError,
    val attempts: PersistentList<AttemptFailure> = persistentListOf(),
)
