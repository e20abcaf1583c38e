package org.buckthornhub.coordination

/**
 * How many of three daemons can't reach a primary, for how long this VM has led, and whether replicas are asked.
 *
 * @property counted daemons of the fleet as the last leader counted them, which the three tell; 0 if they don't know
 */
internal data class CoordinatorCase(
    val name: String,
    val blind: Int,
    val ledMillis: Long,
    val isLeader: Boolean,
    val isSurveyed: Boolean,
    val counted: Int = 0,
) {
    override fun toString(): String = name
}
