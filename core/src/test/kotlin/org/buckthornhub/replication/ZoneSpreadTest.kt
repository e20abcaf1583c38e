package org.buckthornhub.replication

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random
import kotlin.test.assertEquals

// Guards against a quorum that is lost with one availability zone, because its members came to share it.
internal class ZoneSpreadTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `the members of the quorum are spread over the zones`(case: ZoneSpreadCase) = (1..SEEDS).forEach { seed ->
        val cluster = FakeCluster(Random(seed), allowsStandby = true, zones = case.zones)
        cluster.run(2_000)
        case.standby.forEach {
            cluster.join(case.vmOf(it))
            cluster.run(1_000)
        }
        case.lost.forEach {
            cluster.crash(case.vmOf(it))
            cluster.run(12_000)
        }
        cluster.run(4_000)
        val members = cluster.leader("seed $seed: no leader").log.members.map { case.zones.getValue(it.vm).value }
        assertEquals(case.expected, members.sorted().joinToString(""), "seed $seed")
    }

    private companion object {
        const val SEEDS = 8

        @JvmStatic
        fun cases(): List<ZoneSpreadCase> = listOf(
            ZoneSpreadCase("nothing lost", listOf("vm1a", "vm2b", "vm3c"), listOf("vm4a", "vm5d"), emptyList(), "abc"),
            ZoneSpreadCase(
                "a free zone before a shared one",
                listOf("vm1a", "vm2b", "vm3c"),
                listOf("vm4b", "vm5d"),
                listOf("vm1a"),
                "bcd",
            ),
            ZoneSpreadCase("the same zone again", listOf("vm1a", "vm2b", "vm3c"), listOf("vm4b", "vm5c", "vm6a"), listOf("vm1a"), "abc"),
            ZoneSpreadCase("two lost", listOf("vm1a", "vm2b", "vm3c"), listOf("vm4b", "vm5c", "vm6a"), listOf("vm1a", "vm2b"), "abc"),
            ZoneSpreadCase("a shared zone if there is no other", listOf("vm1a", "vm2b", "vm3c"), listOf("vm4b"), listOf("vm1a"), "bbc"),
            ZoneSpreadCase("formed in one zone", listOf("vm1a", "vm2a", "vm3a"), listOf("vm4b", "vm5c"), emptyList(), "abc"),
            ZoneSpreadCase("two of a zone from the start", listOf("vm1a", "vm2a", "vm3b"), listOf("vm4c"), emptyList(), "abc"),
            ZoneSpreadCase("fewer zones than members", listOf("vm1a", "vm2a", "vm3b"), listOf("vm4a", "vm5b"), emptyList(), "aab"),
        )
    }
}
