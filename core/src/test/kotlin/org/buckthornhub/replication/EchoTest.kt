package org.buckthornhub.replication

import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.fleet.VmId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

/** A time that a follower gave to the leader comes back to another run of the follower. */
internal class EchoTest {
    private val decider = ReplicationDecider()

    @ParameterizedTest
    @MethodSource("returned")
    fun `a follower takes over a returned time of its own run only`(case: EchoCase) {
        val start = stateOf(follower, run, case.startedMillis)
        val append = PeerMessage.Append(
            from = leader,
            term = 1,
            round = 1,
            previousIndex = 0,
            previousTerm = 0,
            entries = emptyList(),
            commitIndex = 0,
            confirmedEcho = case.echo,
            confirmedRun = case.run,
        )
        val next = decider.decide(start, ReplicationMessage.Received(append), nowMillis = NOW_MILLIS).state
        assertEquals(case.freshMillis, next.freshMillis)
    }

    @ParameterizedTest
    @MethodSource("kept")
    fun `a leader returns the time of the run that answered last`(case: KeptEchoCase) {
        val answers = case.answers.map { (run, millis) ->
            PeerMessage.AppendAnswer(follower, term = 1, round = 1, isMatched = true, index = 0, echo = millis, run = run)
        }
        val role = Role.Leader(
            firstIndex = 1,
            sinceMillis = 0,
            followers = persistentMapOf(follower to Progress(nextIndex = 1), other to Progress(nextIndex = 1)),
            confirmedMillis = 0,
            round = 1,
        )
        val start = stateOf(leader, RunId("leader"), startedMillis = 0).copy(role = role)
        val end = answers.fold(start) { state, answer ->
            decider.decide(state, ReplicationMessage.Received(answer), nowMillis = NOW_MILLIS).state
        }
        assertEquals(case.echo, (end.role as Role.Leader).followers.getValue(follower).echo)
    }

    private fun stateOf(member: Member, run: RunId, startedMillis: Long) = ReplicationState(
        self = member,
        settings = ReplicationSettings(vms = members.map { it.vm }.toSet()),
        seed = 1,
        run = run,
        durable = DurableState(term = 1, log = ReplicatedLog(Snapshot(members = members))),
        resumedAtMillis = startedMillis,
    )

    private companion object {
        private const val NOW_MILLIS = 10_000L
        private val run = RunId("run")
        private val former = RunId("former")
        private val follower = Member(VmId("vm1"), DiskId("a"))
        private val leader = Member(VmId("vm2"), DiskId("b"))
        private val other = Member(VmId("vm3"), DiskId("c"))
        private val members = setOf(follower, leader, other)

        @JvmStatic
        fun returned(): List<EchoCase> = listOf(
            EchoCase("its own time", run, echo = 9_900, startedMillis = 0, freshMillis = 9_900),
            EchoCase("no time yet", run = null, echo = null, startedMillis = 0, freshMillis = null),
            EchoCase("a former run's, whose clock was ahead", former, echo = 17_000_000, startedMillis = 0, freshMillis = null),
            EchoCase("a former run's, within the new clock's range", former, echo = 9_900, startedMillis = 0, freshMillis = null),
            EchoCase(
                "a former run's, which ended before the clock's start",
                former,
                echo = 4_000,
                startedMillis = 9_000,
                freshMillis = null,
            ),
            EchoCase("that of a run on a lost disk", RunId("lost"), echo = 9_950, startedMillis = 9_900, freshMillis = null),
            EchoCase("its own, from before its start", run, echo = 8_999, startedMillis = 9_000, freshMillis = null),
            EchoCase("its own, from the future", run, echo = NOW_MILLIS + 1, startedMillis = 0, freshMillis = null),
            EchoCase("from a leader of a version that keeps no run", run = null, echo = 9_900, startedMillis = 0, freshMillis = null),
        )

        @JvmStatic
        fun kept(): List<KeptEchoCase> = listOf(
            KeptEchoCase("the first answer", listOf(run to 500L), Echo(run, 500)),
            KeptEchoCase("a later answer waits until the first is confirmed", listOf(run to 500L, run to 600L), Echo(run, 500)),
            KeptEchoCase("a restart with an earlier clock", listOf(former to 17_000_000L, run to 500L), Echo(run, 500)),
            KeptEchoCase("a restart with a later clock", listOf(former to 500L, run to 17_000_000L), Echo(run, 17_000_000)),
            KeptEchoCase("an answer of the former run arrives late", listOf(run to 500L, former to 400L, run to 600L), Echo(run, 600)),
            KeptEchoCase("a version that sends no run", listOf(null to 500L), echo = null),
            KeptEchoCase("a downgrade to a version that sends no run", listOf(run to 500L, null to 17_000_000L), Echo(run, 500)),
        )
    }
}
