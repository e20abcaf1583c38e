package org.buckthornhub.overload

/**
 * Limits of the process for all of its connections together.
 *
 * @property budgetBytes memory for messages beyond a small amount for each connection
 * @property maxConnections connections that are accepted
 * @property incompleteMillis time from the first byte of a message to its last, in ms
 */
public data class OverloadLimits(
    val budgetBytes: Long,
    val maxConnections: Int,
    val incompleteMillis: Long = INCOMPLETE_MILLIS,
) {
    /** Memory for replies that arrive, in bytes: once complete, a reply is counted twice in the budget, as its text and its bytes. */
    public val replyBytes: Long get() = budgetBytes / 2

    public companion object {
        /** A message of 1 MiB takes 6 s on a link of 1.4 Mbit/s; five of them may share it. In ms. */
        public const val INCOMPLETE_MILLIS: Long = 30_000

        /** The rest of the heap is for the state of the process, and for copies that live for a moment only. */
        private const val HEAP_DIVISOR = 4

        /** What the process uses besides its heap and its buffers, which are each as large as the heap at most. */
        private const val OTHER_MEMORY_BYTES = 120_000_000L
        private const val BYTES_PER_MEGABYTE = 1_000_000
        private const val RESERVED_DESCRIPTORS = 200

        /** Of the descriptors that are not reserved for files. The rest is for connections to instances and to other VMs. */
        private const val ACCEPTED_NUMERATOR = 5
        private const val ACCEPTED_DENOMINATOR = 8

        /** Where the descriptors are not known. */
        private const val DEFAULT_CONNECTIONS = 1_000
        private const val MIN_CONNECTIONS = 16

        /** A message of 1 MiB has to fit, with its copies and as a value that the session keeps. */
        private const val MIN_BUDGET_BYTES = 6_000_000L

        /** Returns the limits of a process with [heapBytes]. [memoryMegabytes] and [maxDescriptors] are 0 if they are not known. */
        public fun of(heapBytes: Long, memoryMegabytes: Double, maxDescriptors: Int): OverloadLimits {
            val besidesHeap = (memoryMegabytes * BYTES_PER_MEGABYTE).toLong() - OTHER_MEMORY_BYTES - heapBytes
            val budget = if (memoryMegabytes > 0) minOf(heapBytes / HEAP_DIVISOR, besidesHeap) else heapBytes / HEAP_DIVISOR
            val available = (maxDescriptors - RESERVED_DESCRIPTORS) * ACCEPTED_NUMERATOR / ACCEPTED_DENOMINATOR
            return OverloadLimits(
                budgetBytes = budget.coerceAtLeast(MIN_BUDGET_BYTES),
                maxConnections = if (maxDescriptors > 0) available.coerceAtLeast(MIN_CONNECTIONS) else DEFAULT_CONNECTIONS,
            )
        }
    }
}
