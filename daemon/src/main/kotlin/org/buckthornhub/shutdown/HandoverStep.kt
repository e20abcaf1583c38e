package org.buckthornhub.shutdown

/** Hands one part of this daemon over before it stops; a step that takes too long is given up. */
internal fun interface HandoverStep {
    suspend fun handOver()
}
