package org.buckthornhub.observe

import org.buckthornhub.explain.RequestRecord

/** Takes each whole record of a request; called by one task. */
internal fun interface RecordObserver {
    fun completed(record: RequestRecord)
}
