package org.buckthornhub.queue

/** Chooses the order in which calls get a connection. */
public fun interface QueuePolicy {
    /** An empty queue for at most [capacity] calls. */
    public fun emptyQueue(capacity: Int): CallQueue

    public companion object {
        /** Deficit round robin over organisations. */
        public val FAIR: QueuePolicy = QueuePolicy { DeficitRoundRobinQueue(it) }

        /** First in, first out: the baseline of the tests. */
        public val FIFO: QueuePolicy = QueuePolicy { FifoQueue(it) }
    }
}
