package org.buckthornhub.instancepool.waiting

/**
 * A load on one daemon.
 *
 * @property kinds what is sent at the usual rate
 * @property flood factor by which one organisation exceeds its usual rate during the load
 * @property burst factor by which all organisations exceed their usual rate during the load
 * @property transactionStatements number of statements of a transaction
 * @property isPrimaryLost whether the primary is lost for 2 s
 */
internal data class WaitingCase(
    val name: String,
    val kinds: List<RequestKind>,
    val flood: Double = 1.0,
    val burst: Double = 1.0,
    val transactionStatements: Int = 3,
    val isPrimaryLost: Boolean = false,
) {
    override fun toString(): String = name
}
