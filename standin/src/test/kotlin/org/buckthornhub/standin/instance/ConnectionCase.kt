package org.buckthornhub.standin.instance

/** A connection that was opened at 0 and used at [usedMillis]; [isOpen] tells whether it is open at [nowMillis]. */
internal data class ConnectionCase(
    val name: String,
    val inTransaction: Boolean,
    val usedMillis: Long,
    val nowMillis: Long,
    val isOpen: Boolean,
) {
    override fun toString(): String = name
}
