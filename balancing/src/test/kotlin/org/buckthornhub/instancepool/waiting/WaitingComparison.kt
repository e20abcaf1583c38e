package org.buckthornhub.instancepool.waiting

/**
 * A load, and by how much the decisions that follow the load must beat others on it.
 *
 * @property naive what they are compared with
 * @property measure what is compared; less is better
 * @property factor largest allowed quotient of the two sums over all seeds
 */
internal data class WaitingComparison(
    val load: WaitingCase,
    val naive: Pair<String, WaitingSettings>,
    val measure: Pair<String, (WaitingOutcome) -> Number>,
    val factor: Double,
) {
    override fun toString(): String = "${load.name}: ${measure.first} compared with ${naive.first}"
}
