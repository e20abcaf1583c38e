package org.buckthornhub.overload

/**
 * Closes what holds most, with a preference for connections that are not established.
 *
 * Answers the load of many clients that send large messages, or open connections, at once: closing the connection that happens to
 * reach the limit would hit ordinary callers as often as the others. A connection that holds nothing is closed only for a new
 * connection, and only if it is not established.
 */
public object LargestFirstChoice : ClosingChoice {
    /** How much more a connection counts that is not established. */
    private const val NOT_ESTABLISHED_FACTOR = 2

    // Of equal ones the oldest goes first, as a new one may be about to open its session.
    override fun forConnection(connections: Collection<GuardedConnection>, opening: GuardedId): GuardedId? = connections
        .filter { it.id != opening && it.holding.boundBytes == 0L && (!it.isEstablished || it.holding.freeableBytes > 0) }
        .maxWithOrNull(
            compareBy<GuardedConnection> { !it.isEstablished }.thenBy { it.holding.freeableBytes }.thenByDescending { it.id.value },
        )
        ?.id

    override fun forBytes(connections: Collection<GuardedConnection>, excessBytes: Long): List<GuardedId> {
        val order = connections.filter { it.holding.freeableBytes > 0 }.sortedByDescending { weightOf(it) }
        val freedBefore = order.runningFold(0L) { sum, connection -> sum + connection.holding.freeableBytes }
        return order.zip(freedBefore).takeWhile { (_, freed) -> freed < excessBytes }.map { (connection, _) -> connection.id }
    }

    private fun weightOf(connection: GuardedConnection): Long =
        connection.holding.freeableBytes * if (connection.isEstablished) 1 else NOT_ESTABLISHED_FACTOR
}
