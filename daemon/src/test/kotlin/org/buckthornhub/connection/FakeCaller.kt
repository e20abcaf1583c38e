package org.buckthornhub.connection

import kotlinx.coroutines.channels.Channel
import org.buckthornhub.organisation.ApiKey
import org.buckthornhub.routetable.DatabaseName
import org.buckthornhub.statement.RequestId

/** A caller that sends one statement at a time. */
internal class FakeCaller : ClientLink {
    private val sent = Channel<ClientRequest>(Channel.UNLIMITED)
    private val replies = Channel<ClientReply>(Channel.UNLIMITED)
    private var count = 0
    var isClosed = false
        private set
    override val requests get() = sent

    suspend fun open(database: String, key: String): ClientReply {
        sent.trySend(ClientRequest.Start(DatabaseName(database), ApiKey(key)))
        return replies.receive()
    }

    suspend fun ask(statement: ClientStatement): ClientReply {
        sent.trySend(ClientRequest.Query(RequestId("q${++count}"), statement))
        return replies.receive()
    }

    fun disconnect() {
        sent.close()
    }

    override fun send(reply: ClientReply) {
        replies.trySend(reply)
    }

    override fun close() {
        isClosed = true
    }
}
