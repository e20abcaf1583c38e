package org.buckthornhub.connection

/** What a connection holds, what a session needs, and the steps between. */
internal data class SetupCase(
    val name: String,
    val connection: TargetConnectionState,
    val session: SessionState,
    val needed: PreparedStatement?,
    val steps: List<SetupStatement>,
) {
    override fun toString(): String = name
}
