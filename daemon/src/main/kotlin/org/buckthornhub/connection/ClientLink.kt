package org.buckthornhub.connection

import kotlinx.coroutines.channels.ReceiveChannel

/** Connection of one caller; its session closes it. */
public interface ClientLink {
    /** Requests in the order of arrival; closed when the caller has disconnected. */
    public val requests: ReceiveChannel<ClientRequest>

    /** Queues [reply] for sending without suspending. */
    public fun send(reply: ClientReply)

    /** Closes the connection after all queued replies have been sent. */
    public fun close()
}
