package org.buckthornhub.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** What a [Decider] answers: the next state, and the effects to carry out. */
public data class Decision<out S, out E>(
    val state: S,
    val effects: PersistentList<E> = persistentListOf(),
)
