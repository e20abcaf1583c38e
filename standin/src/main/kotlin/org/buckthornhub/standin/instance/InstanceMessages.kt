package org.buckthornhub.standin.instance

import kotlinx.collections.immutable.PersistentList
import org.buckthornhub.group.Term

/** Returns the replication message with which the primary sends [entries] that follow the end of this log. */
internal fun InstanceState.entriesMessage(entries: PersistentList<LogEntry>): InstanceMessage.Replicate =
    InstanceMessage.Replicate(target, zone, term, received, log.lastOrNull()?.term ?: Term.NONE, entries)
