package org.buckthornhub.connection

/** State of a connection, needs of a session, and the expected setup steps. */
internal data class SetupCase(
    val name: String,
    val connection: TargetConnectionState,
    val session: SessionState,
    val needed: PreparedStatement?,
    val steps: List<SetupStatement>,
) {
    override fun toString(): String = name
}
