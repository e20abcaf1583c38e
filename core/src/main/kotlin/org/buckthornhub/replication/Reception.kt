package org.buckthornhub.replication

/** Hands each message of another member to the part that it concerns. */
internal object Reception {
    fun receive(start: Step, message: PeerMessage, nowMillis: Long): Step = when (message) {
        is PeerMessage.Hello -> Formation.hello(start, message, nowMillis)
        is PeerMessage.HelloAnswer -> Formation.helloAnswer(start, message)
        is PeerMessage.VoteRequest -> Election.voteRequest(start, message, nowMillis)
        is PeerMessage.VoteAnswer -> Election.voteAnswer(start, message, nowMillis)
        is PeerMessage.Append -> Following.append(start, message, nowMillis)
        is PeerMessage.Install -> Following.install(start, message, nowMillis)
        is PeerMessage.AppendAnswer -> appendAnswer(start, message, nowMillis)
    }

    private fun appendAnswer(start: Step, message: PeerMessage.AppendAnswer, nowMillis: Long): Step {
        val term = start.state.durable.term
        return when {
            message.term > term -> Election.follow(start, message.term, leader = null, nowMillis)
            message.term == term -> Leading.appendAnswer(start, message, nowMillis)
            else -> start
        }
    }
}
