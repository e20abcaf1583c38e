package org.buckthornhub.replication

import kotlinx.collections.immutable.persistentListOf
import org.buckthornhub.decision.Decider
import org.buckthornhub.decision.Decision

/** Consensus protocol of one member, after Raft: elections, log replication, snapshots and membership changes, without I/O. */
public class ReplicationDecider : Decider<ReplicationState, ReplicationMessage, ReplicationEffect> {
    override fun decide(
        state: ReplicationState,
        message: ReplicationMessage,
        nowMillis: Long,
    ): Decision<ReplicationState, ReplicationEffect> {
        val step = step(Step(state), message, nowMillis)
        val diff = DurableRecords.diff(state.durable, step.state.durable) ?: return Decision(step.state, step.effects)
        return Decision(step.state, persistentListOf(diff).addAll(step.effects))
    }

    private fun step(start: Step, message: ReplicationMessage, nowMillis: Long): Step = when (message) {
        is ReplicationMessage.Tick -> tick(start, nowMillis)
        is ReplicationMessage.Suspended -> start.update { copy(resumedAtMillis = nowMillis, freshMillis = null) }
        is ReplicationMessage.Received -> PeerMessageDispatcher.dispatch(start, message.message, nowMillis)
        is ReplicationMessage.Propose -> Proposals.propose(start, message)
        is ReplicationMessage.Flush -> Proposals.flush(start, nowMillis)
        is ReplicationMessage.DiscoveryVmsAdded -> start.update { copy(introducers = introducers.addAll(message.vms)) }
        is ReplicationMessage.Confirm -> Proposals.confirm(start, message.token, nowMillis)
    }

    private fun tick(start: Step, nowMillis: Long): Step = when {
        !start.state.isMember && start.state.role !is Role.Leader -> QuorumBootstrap.tick(start, nowMillis)
        start.state.role is Role.Leader -> LeaderReplication.tick(start, nowMillis)
        else -> Election.tick(start, nowMillis)
    }
}
