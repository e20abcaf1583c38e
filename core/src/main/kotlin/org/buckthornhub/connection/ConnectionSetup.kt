package org.buckthornhub.connection

import kotlinx.collections.immutable.persistentMapOf

/**
 * Statements that give a target connection the values and the prepared statement that a session needs.
 *
 * @property steps to run in order
 * @property state of the connection once the target has acknowledged all steps
 */
public data class ConnectionSetup(
    val steps: List<SetupStatement>,
    val state: TargetConnectionState,
) {
    public companion object {
        /** Maximum number of prepared statements on a connection; one more resets it, which bounds the memory of the target. */
        public const val MAX_PREPARED: Int = 200

        /** @param needed the prepared statement that runs next, if any */
        public fun between(connection: TargetConnectionState, session: SessionState, needed: PreparedStatement?): ConnectionSetup {
            val hasOtherValues = connection.values.keys.any { it !in session.values }
            val isPreparedFull = connection.prepared.size >= MAX_PREPARED && needed != null && needed !in connection.prepared
            val discard = if (hasOtherValues || isPreparedFull) listOf(SetupStatement.Discard) else emptyList()
            val retained =
                if (discard.isEmpty()) connection else connection.copy(values = persistentMapOf(), prepared = persistentMapOf())
            val missing = session.values.filter { (name, value) -> retained.values[name] != value }
            val values = missing.map { (name, value) -> SetupStatement.SetValue(name, value) }
            val configured = retained.copy(values = retained.values.putAll(missing))
            if (needed == null || needed in configured.prepared) return ConnectionSetup(discard + values, configured)
            val name = "p${configured.preparedCount + 1}"
            val prepared = configured.copy(prepared = configured.prepared.put(needed, name), preparedCount = configured.preparedCount + 1)
            return ConnectionSetup(discard + values + SetupStatement.Prepare(name, needed), prepared)
        }
    }
}
