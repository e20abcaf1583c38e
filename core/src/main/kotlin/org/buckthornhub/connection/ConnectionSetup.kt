package org.buckthornhub.connection

import kotlinx.collections.immutable.persistentMapOf

/**
 * The steps that bring a target connection to the values and statements of a session.
 *
 * @property steps to run in order
 * @property state of the connection once all of them were acknowledged
 */
public data class ConnectionSetup(
    val steps: List<SetupStatement>,
    val state: TargetConnectionState,
) {
    public companion object {
        /** Prepared names that one connection keeps before it starts anew; bounds the memory of the target. */
        public const val MAX_PREPARED: Int = 200

        /** @param needed the statement about to run, if it is a prepared one */
        public fun between(connection: TargetConnectionState, session: SessionState, needed: PreparedStatement?): ConnectionSetup {
            val isForeign = connection.values.keys.any { it !in session.values }
            val isFull = connection.prepared.size >= MAX_PREPARED && needed != null && needed !in connection.prepared
            val discard = if (isForeign || isFull) listOf(SetupStatement.Discard) else emptyList()
            val base =
                if (discard.isEmpty()) connection else connection.copy(values = persistentMapOf(), prepared = persistentMapOf())
            val missing = session.values.filter { (name, value) -> base.values[name] != value }
            val values = missing.map { (name, value) -> SetupStatement.SetValue(name, value) }
            val valued = base.copy(values = base.values.putAll(missing))
            if (needed == null || needed in valued.prepared) return ConnectionSetup(discard + values, valued)
            val name = "p${valued.preparedCount + 1}"
            val prepared = valued.copy(prepared = valued.prepared.put(needed, name), preparedCount = valued.preparedCount + 1)
            return ConnectionSetup(discard + values + SetupStatement.Prepare(name, needed), prepared)
        }
    }
}
