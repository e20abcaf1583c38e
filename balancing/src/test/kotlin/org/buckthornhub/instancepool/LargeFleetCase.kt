package org.buckthornhub.instancepool

/**
 * Statements of many organisations at many daemons, for one instance.
 *
 * @property perSecond statements a second over the whole fleet
 * @property isShortLived whether connections are closed soon after use; the baseline keeps one in each daemon
 * @property maxOpen bound on the connections that are open at once; null where the baseline may pass the instance's limit
 */
internal data class LargeFleetCase(
    val name: String,
    val daemons: Int,
    val perSecond: Double,
    val isShortLived: Boolean,
    val maxOpen: Int?,
) {
    override fun toString(): String = name
}
