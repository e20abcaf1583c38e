package org.buckthornhub.connection

import kotlinx.coroutines.channels.ReceiveChannel

/** One caller's connection; the session that it belongs to closes it. */
public interface ClientLink {
    /** Requests in their order; ends when the caller is gone. */
    public val requests: ReceiveChannel<ClientRequest>

    /** Sends without waiting. */
    public fun send(reply: ClientReply)

    /** Closes once everything that was sent has left. */
    public fun close()
}
