package org.buckthornhub.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** Result of a [Decider]: the next state, and the effects to execute. */
public data class Decision<out S, out E>(
    val state: S,
    val effects: PersistentList<E> = persistentListOf(),
)
