package org.buckthornhub.overload

/**
 * Memory that a connection holds, in bytes of the budget.
 *
 * @property freeableBytes what closing the connection frees: incomplete messages, messages that wait, replies that are not read
 * @property boundBytes what stays until a request that is being processed ends
 */
public data class Holding(
    val freeableBytes: Long = 0,
    val boundBytes: Long = 0,
) {
    val bytes: Long get() = freeableBytes + boundBytes

    public companion object {
        public val NONE: Holding = Holding()
    }
}
