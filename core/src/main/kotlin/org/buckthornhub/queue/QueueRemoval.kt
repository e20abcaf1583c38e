package org.buckthornhub.queue

/** The call that is next, and the queue without it. */
public data class QueueRemoval(
    val call: QueuedCall,
    val queue: CallQueue,
)
