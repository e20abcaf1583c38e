package org.buckthornhub.connection

import kotlinx.collections.immutable.PersistentList

/** A statement that was served. @property failedAttempts the attempts before the one that served it */
internal data class ServedStatement(
    val outcome: RunOutcome.Done,
    val failedAttempts: PersistentList<AttemptFailure>,
)
