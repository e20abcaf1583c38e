package org.buckthornhub.queue

/**
 * The queue after a call was offered.
 *
 * @property refused ticket that found no place: the new one, or the newest of the organisation with the most calls
 */
public data class QueueAddition(
    val queue: CallQueue,
    val refused: Long? = null,
)
