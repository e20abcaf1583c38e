package org.buckthornhub.standin.instance

import kotlinx.collections.immutable.PersistentList
import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Term

/** What the task of an instance carries out. */
public sealed interface InstanceEffect {
    /** Completes [reply]. */
    public data class Answer<T>(
        val reply: CompletableDeferred<T>,
        val value: T,
    ) : InstanceEffect

    /** Sends new entries to the other instances of the group. */
    public data class SendEntries(
        val term: Term,
        val after: LogPosition,
        val entries: PersistentList<LogEntry>,
    ) : InstanceEffect
}
