package org.buckthornhub.queue

/** Determines the order in which calls get a connection. */
public fun interface QueuePolicy {
    /** Creates an empty queue for at most [capacity] calls. */
    public fun emptyQueue(capacity: Int): CallQueue

    public companion object {
        /** Deficit round robin over the organisations. */
        public val FAIR: QueuePolicy = QueuePolicy { DeficitRoundRobinQueue(it) }

        /** First in, first out; a baseline for tests. */
        public val FIFO: QueuePolicy = QueuePolicy { FifoQueue(it) }
    }
}
