package org.buckthornhub.replication

import org.buckthornhub.fleet.VmId
import kotlin.test.Test
import kotlin.test.assertEquals

/** An answer to a hello of a former run says what was true then: since, the others may have formed a quorum. */
internal class HelloRoundTest {
    private val decider = ReplicationDecider()
    private val self = Member(VmId("vm1"), DiskId("a"))
    private val others = setOf(Member(VmId("vm2"), DiskId("b")), Member(VmId("vm3"), DiskId("c")))

    @Test
    fun `answers to the former run form no quorum and those to this one do`() {
        val former = hello(start(seed = 1))
        val present = hello(start(seed = 2))
        assertEquals(emptySet(), answered(present, former.helloRound).log.members)
        assertEquals(others + self, answered(present, present.helloRound).log.members)
    }

    private fun start(seed: Long) =
        ReplicationState(self, ReplicationSettings(vms = (others + self).map { it.vm }.toSet()), seed, RunId("run$seed"))

    private fun hello(state: ReplicationState) = decider.decide(state, ReplicationMessage.Tick, nowMillis = 1_000).state

    private fun answered(state: ReplicationState, round: Long): ReplicationState = others.fold(state) { known, other ->
        val answer = PeerMessage.HelloAnswer(other, asker = self, round = round, members = emptySet())
        decider.decide(known, ReplicationMessage.Received(answer), nowMillis = 1_100).state
    }
}
