package org.buckthornhub.replication

/** Dispatches messages of other members to their handlers. */
internal object PeerMessageDispatcher {
    fun dispatch(start: Step, message: PeerMessage, nowMillis: Long): Step = when (message) {
        is PeerMessage.Hello -> QuorumBootstrap.onHello(start, message, nowMillis)
        is PeerMessage.HelloAnswer -> QuorumBootstrap.onHelloAnswer(start, message)
        is PeerMessage.VoteRequest -> Election.onVoteRequest(start, message, nowMillis)
        is PeerMessage.VoteAnswer -> Election.onVoteAnswer(start, message, nowMillis)
        is PeerMessage.Append -> FollowerReplication.onAppend(start, message, nowMillis)
        is PeerMessage.Install -> FollowerReplication.onInstall(start, message, nowMillis)
        is PeerMessage.AppendAnswer -> onAppendAnswer(start, message, nowMillis)
    }

    private fun onAppendAnswer(start: Step, message: PeerMessage.AppendAnswer, nowMillis: Long): Step {
        val term = start.state.durable.term
        return when {
            message.term > term -> Election.follow(start, message.term, leader = null, nowMillis)
            message.term == term -> LeaderReplication.onAppendAnswer(start, message, nowMillis)
            else -> start
        }
    }
}
