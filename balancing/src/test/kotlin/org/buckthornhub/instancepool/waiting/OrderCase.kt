package org.buckthornhub.instancepool.waiting

/**
 * Two kinds of statements that always wait, and the [share] of the time that the second one gets.
 *
 * @property waiting number of statements of the first kind; of the second one waits at a time
 * @property priorities priorities of both kinds
 * @property costs times in ms for which both hold a connection
 */
internal data class OrderCase(
    val order: WaitingOrder,
    val waiting: Int,
    val priorities: Pair<Int, Int>,
    val costs: Pair<Double, Double>,
    val share: ClosedFloatingPointRange<Double>,
)
