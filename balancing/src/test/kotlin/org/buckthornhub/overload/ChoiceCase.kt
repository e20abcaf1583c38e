package org.buckthornhub.overload

/**
 * @property connections in the order of opening
 * @property excessBytes to be freed; null if room for another connection is needed
 * @property closed indices of the connections that are closed
 */
internal data class ChoiceCase(
    val name: String,
    val connections: List<GuardedConnection>,
    val excessBytes: Long?,
    val closed: List<Int>,
) {
    override fun toString(): String = name
}
