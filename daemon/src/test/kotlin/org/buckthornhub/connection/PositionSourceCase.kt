package org.buckthornhub.connection

/**
 * @property statements what the caller sends; the position in the answer to the last one is looked at
 * @property isReplaced whether the primary loses the lead before the last statement
 * @property isSample whether that answer sets the position of the primary
 */
internal data class PositionSourceCase(
    val name: String,
    val statements: List<ClientStatement>,
    val isReplaced: Boolean,
    val isSample: Boolean,
    val database: String = "latest",
) {
    override fun toString(): String = name
}
