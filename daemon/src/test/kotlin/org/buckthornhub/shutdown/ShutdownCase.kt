package org.buckthornhub.shutdown

/** A graceful shutdown as a sequence of messages with the expected phases and effects. */
internal data class ShutdownCase(
    val name: String,
    val steps: List<ShutdownStep>,
) {
    override fun toString(): String = name
}
