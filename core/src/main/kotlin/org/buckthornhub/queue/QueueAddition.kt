package org.buckthornhub.queue

/**
 * Result of adding a call to a queue.
 *
 * @property refused ticket of the refused call: the new one, or the newest of the organisation with the most calls; null if none
 */
public data class QueueAddition(
    val queue: CallQueue,
    val refused: Long? = null,
)
