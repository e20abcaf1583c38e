package org.buckthornhub.connection

import org.buckthornhub.error.ProxyError
import org.buckthornhub.group.Position

/** What a caller gets on its connection. */
public sealed interface ClientReply {
    /** The session is open. */
    public data object Started : ClientReply

    /** The session can't be opened or can't go on; the connection ends after it. */
    public data class Ended(val error: ProxyError) : ClientReply

    /**
     * The whole answer to one statement.
     *
     * @property signature of the target that ran it; null if none did
     * @property position of the target; null if none ran it
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
