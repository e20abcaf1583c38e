package org.buckthornhub.instancepool

/**
 * A request for a connection, and whether it is refused at once.
 *
 * @property prepare changes the state of the pool before the request
 */
internal data class HopelessCase(
    val name: String,
    val requirement: ConnectionRequirement,
    val prepare: (PoolState) -> PoolState,
    val isRefused: Boolean,
) {
    override fun toString(): String = name
}
