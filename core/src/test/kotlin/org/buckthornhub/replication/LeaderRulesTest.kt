package org.buckthornhub.replication

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.control.ControlCommand
import org.buckthornhub.fleet.VmId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

/** Rules of the leader whose violation random schedules seldom detect. */
internal class LeaderRulesTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `an answer advances the commit index and the members as expected`(case: AppendAnswerCase) {
        val answer = PeerMessage.AppendAnswer(case.from, term = 2, round = 1, isMatched = true, index = case.index, echo = 0)
        val start = if (case.from == learner) leader(commitIndex = 4) else leader(commitIndex = 0)
        val next = ReplicationDecider().decide(start, ReplicationMessage.Received(answer), nowMillis = 10).state
        assertEquals(case.commitIndex, next.commitIndex)
        assertEquals(case.members, next.log.members)
    }

    private fun leader(commitIndex: Long): ReplicationState {
        val command = EntryContent.Command(ControlCommand.NoOp)
        val log = ReplicatedLog(Snapshot(members = members))
            .append(term = 1, content = command)
            .append(term = 1, content = command)
            .append(term = 2, content = EntryContent.Members(members))
            .append(term = 2, content = command)
        val followers = persistentMapOf(
            second to Progress(nextIndex = 5, matchIndex = commitIndex),
            lost to Progress(nextIndex = 5),
            learner to Progress(nextIndex = 1, catchUpIndex = 4),
        )
        return ReplicationState(
            self = self,
            settings = ReplicationSettings(vms = setOf(self.vm, second.vm, lost.vm)),
            seed = 1,
            run = RunId("run"),
            durable = DurableState(term = 2, votedFor = self, log = log),
            role = Role.Leader(firstIndex = 3, sinceMillis = 0, followers = followers, confirmedMillis = 0, round = 1),
            commitIndex = commitIndex,
        )
    }

    private companion object {
        private val self = Member(VmId("vm1"), DiskId("a"))
        private val second = Member(VmId("vm2"), DiskId("b"))
        private val lost = Member(VmId("vm3"), DiskId("c"))
        private val learner = Member(VmId("vm3"), DiskId("d"))
        private val members = setOf(self, second, lost)

        @JvmStatic
        fun cases(): List<AppendAnswerCase> = persistentListOf(
            AppendAnswerCase("a majority has entries of an older term only", second, index = 2, commitIndex = 0, members = members),
            AppendAnswerCase("a majority has an entry of this term", second, index = 3, commitIndex = 3, members = members),
            AppendAnswerCase("a learner that has not caught up", learner, index = 3, commitIndex = 4, members = members),
            AppendAnswerCase(
                "a learner that has caught up: the lost member is removed",
                learner,
                index = 4,
                commitIndex = 4,
                members = members - lost,
            ),
        )
    }
}
