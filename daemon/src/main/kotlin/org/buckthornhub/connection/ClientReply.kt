package org.buckthornhub.connection

import org.buckthornhub.error.ProxyError
import org.buckthornhub.group.Position

/** Reply to a caller on its connection. */
public sealed interface ClientReply {
    /** The session is open. */
    public data object Started : ClientReply

    /** The session cannot be opened or continued; the connection is closed after this reply. */
    public data class Ended(val error: ProxyError) : ClientReply

    /**
     * Complete answer to one statement.
     *
     * @property signature of the target that ran the statement; null if no target ran it
     * @property position of the target's log; null if no target ran it
     */
    public data class Completed(
        val rows: List<String>,
        val signature: String?,
        val phase: SessionPhase,
        val position: Position?,
    ) : ClientReply

    public data class Failed(
        val error: ProxyError,
        val phase: SessionPhase,
    ) : ClientReply
}
