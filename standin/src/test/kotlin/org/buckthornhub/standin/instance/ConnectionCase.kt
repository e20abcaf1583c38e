package org.buckthornhub.standin.instance

/** Connection opened at 0 and last used at [usedMillis]; [isOpen] is its expected state at [nowMillis]. */
internal data class ConnectionCase(
    val name: String,
    val inTransaction: Boolean,
    val usedMillis: Long,
    val nowMillis: Long,
    val isOpen: Boolean,
) {
    override fun toString(): String = name
}
