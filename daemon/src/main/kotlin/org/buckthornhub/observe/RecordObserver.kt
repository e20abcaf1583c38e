package org.buckthornhub.observe

import org.buckthornhub.explain.RequestRecord

/** Receives the record of each completed request; called from a single task. */
internal fun interface RecordObserver {
    fun completed(record: RequestRecord)
}
