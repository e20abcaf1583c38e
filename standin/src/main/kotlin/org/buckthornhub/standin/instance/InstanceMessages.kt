package org.buckthornhub.standin.instance

import kotlinx.collections.immutable.PersistentList
import org.buckthornhub.group.Term

/** [entries] after the end of this log, as its primary sends them. */
internal fun InstanceState.entriesMessage(entries: PersistentList<LogEntry>): InstanceMessage.Replicate =
    InstanceMessage.Replicate(target, zone, term, received, log.lastOrNull()?.term ?: Term.NONE, entries)
