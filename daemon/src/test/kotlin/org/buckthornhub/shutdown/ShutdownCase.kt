package org.buckthornhub.shutdown

/** A planned stop under some load. */
internal data class ShutdownCase(
    val name: String,
    val steps: List<ShutdownStep>,
) {
    override fun toString(): String = name
}
