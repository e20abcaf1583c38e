package org.buckthornhub.shutdown

/** One step of the handover before shutdown, such as releasing leases; a step that exceeds the time limit is cancelled. */
internal fun interface HandoverStep {
    suspend fun handOver()
}
