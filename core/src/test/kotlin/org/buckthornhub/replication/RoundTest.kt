package org.buckthornhub.replication

import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.fleet.VmId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** A round of an earlier leadership confirms nothing to the same VM when it leads again. */
internal class RoundTest {
    private val decider = ReplicationDecider()

    @ParameterizedTest
    @MethodSource("answers")
    fun `a leader counts only rounds that it has sent`(case: RoundCase) {
        val followers = persistentMapOf(second to Progress(nextIndex = 2), third to Progress(nextIndex = 2))
        val role = Role.Leader(
            firstIndex = 1,
            sinceMillis = 0,
            followers = followers,
            confirmedMillis = 0,
            round = 3,
            roundSentMillis = persistentMapOf(1L to 100L, 2L to 200L, 3L to 300L),
        )
        val answer = PeerMessage.AppendAnswer(second, TERM, case.round, isMatched = false, index = 0, echo = 0, run = RunId("second"))
        val next = decider.decide(stateOf(first).copy(role = role), ReplicationMessage.Received(answer), nowMillis = 400).state
        assertEquals(case.confirmedMillis, assertIs<Role.Leader>(next.role).confirmedMillis)
    }

    @ParameterizedTest
    @MethodSource("requests")
    fun `an answer to a leader of an older term carries no round`(request: PeerMessage) {
        val effects = decider.decide(stateOf(second), ReplicationMessage.Received(request), nowMillis = 400).effects
        val answer = assertIs<PeerMessage.AppendAnswer>(assertIs<ReplicationEffect.Send>(effects.single()).message)
        assertEquals(TERM to 0L, answer.term to answer.round)
    }

    @Test
    fun `a delayed append of an earlier leadership does not confirm the present one`() {
        val append = requests().first()
        val effects = decider.decide(stateOf(second), ReplicationMessage.Received(append), nowMillis = 400).effects
        val answer = assertIs<ReplicationEffect.Send>(effects.single()).message
        val followers = persistentMapOf(second to Progress(nextIndex = 2), third to Progress(nextIndex = 2))
        val role = Role.Leader(firstIndex = 1, sinceMillis = 0, followers = followers, confirmedMillis = 0, round = 3_000)
        val next = decider.decide(stateOf(first).copy(role = role), ReplicationMessage.Received(answer), nowMillis = 400).state
        assertEquals(0, assertIs<Role.Leader>(next.role).confirmedRound)
    }

    private fun stateOf(member: Member) = ReplicationState(
        self = member,
        settings = ReplicationSettings(vms = members.map { it.vm }.toSet()),
        seed = 1,
        run = RunId(member.vm.value),
        durable = DurableState(TERM, log = ReplicatedLog(Snapshot(members = members))),
    )

    private companion object {
        private const val TERM = 5L
        private val first = Member(VmId("vm1"), DiskId("a"))
        private val second = Member(VmId("vm2"), DiskId("b"))
        private val third = Member(VmId("vm3"), DiskId("c"))
        private val members = setOf(first, second, third)

        @JvmStatic
        fun answers(): List<RoundCase> = listOf(
            RoundCase("the newest round", round = 3, confirmedMillis = 300),
            RoundCase("an earlier round", round = 2, confirmedMillis = 200),
            RoundCase("no round", round = 0, confirmedMillis = 0),
            RoundCase("a round of an earlier, longer leadership", round = 500, confirmedMillis = 0),
        )

        @JvmStatic
        fun requests(): List<PeerMessage> = listOf(
            PeerMessage.Append(first, term = 3, round = 500, previousIndex = 0, previousTerm = 0, entries = emptyList(), commitIndex = 0),
            PeerMessage.Install(first, term = 3, round = 500, snapshot = Snapshot(members = members)),
        )
    }
}
