package org.buckthornhub.load.history

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** What all clients of a run saw, in the order of the ends of attempts as far as the clients' clock tells. */
public data class History(
    val attempts: PersistentList<Attempt> = persistentListOf(),
    val faults: PersistentList<FaultMark> = persistentListOf(),
)
