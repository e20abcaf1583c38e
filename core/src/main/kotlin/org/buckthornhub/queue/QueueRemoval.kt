package org.buckthornhub.queue

/** The call that was taken from a queue, and the remaining queue. */
public data class QueueRemoval(
    val call: QueuedCall,
    val queue: CallQueue,
)
