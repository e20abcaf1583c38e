package org.buckthornhub.fleet

import org.buckthornhub.group.GroupId
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetEntry
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Views of the fleet after starts, failures, shutdowns and partitions. Each case runs with ten seeds. */
internal class MembershipTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `every daemon reaches the correct view in time`(case: MembershipCase) {
        repeat(SEEDS) { seed ->
            val network = converged(case, seed)
            case.event(network)
            assertNotNull(network.runUntil(case.limitMillis) { case.isSettled(network) }, "seed $seed: ${views(network)}")
        }
    }

    @Test
    fun `message loss declares no daemon dead permanently`() {
        repeat(SEEDS) { seed ->
            val network = converged(case("loss", listOf(3, 3), limitMillis = 0, lossPercent = 10) { true }, seed)
            network.run(30_000)
            assertNotNull(network.runUntil(10_000) { allAlive(network, 6) }, "seed $seed: ${views(network)}")
        }
    }

    @Test
    fun `the message size does not grow with the fleet`() {
        val network = FleetNetwork(FleetSettings(seeds = listOf("a0")), Random(1))
        startZones(network, listOf(40, 40, 40))
        network.run(10_000)
        network.inject("a0", FleetMessage.Announced(target("t1")))
        network.run(5_000)
        assertTrue(network.maxEntries <= 2 * FleetSettings().maxUpdates + 4, "${network.maxEntries} entries in a message")
    }

    @Test
    fun `targets become known to all daemons and are removed when silent`() {
        val network = converged(case("targets", listOf(2, 2), limitMillis = 0) { true }, seed = 1)
        network.inject("a0", FleetMessage.Announced(target("t1")))
        assertNotNull(network.runUntil(3_000) { allKnow(network, "t1", Term(1)) })
        network.inject("a1", FleetMessage.Announced(target("t1").copy(term = Term(2), role = TargetRole.PRIMARY)))
        assertNotNull(network.runUntil(3_000) { allKnow(network, "t1", Term(2)) })
        assertNotNull(network.runUntil(25_000) { network.running().all { network.view(it.value).targets.isEmpty() } })
        network.run(10_000)
        assertEquals(0, network.running().sumOf { network.view(it.value).targets.size })
    }

    private companion object {
        private const val SEEDS = 10
        private const val CONVERGE_MILLIS = 20_000L

        @JvmStatic
        fun cases(): List<MembershipCase> = listOf(
            case("a daemon of a zone of two dies", listOf(2, 2, 2, 2), limitMillis = 3_000, { it.stop("a1") }) { zoneHasLive(it, "a", 1) },
            case("a daemon of a zone of three dies", listOf(3, 3), limitMillis = 3_000, { it.stop("a1") }) { zoneHasLive(it, "a", 2) },
            case("a daemon of a zone of eight dies", listOf(8, 1), limitMillis = 3_000, { it.stop("a1") }) { zoneHasLive(it, "a", 7) },
            case("two daemons of a zone die", listOf(4, 2), limitMillis = 3_000, { stopBoth(it) }) { zoneHasLive(it, "a", 2) },
            case("a daemon leaves", listOf(3, 2), limitMillis = 100, { it.inject("a1", FleetMessage.Leave) }) { zoneHasLive(it, "a", 2) },
            case("a daemon dies, seen from other zones", listOf(2, 2, 2, 2), limitMillis = 8_000, { it.stop("a1") }) { allAlive(it, 7) },
            case("a daemon restarts at once", listOf(2, 2), limitMillis = 8_000, { restart(it) }) {
                allAlive(it, 4) && it.view("b0").daemons.getValue(VmId("a1")).incarnation == 9L
            },
            case("a zone is cut off", listOf(2, 2, 2), limitMillis = 15_000, { it.cut("c") }) { seesOnlyOwnSide(it) },
            case("a partition heals", listOf(2, 2, 2), limitMillis = 30_000, { cutAndHeal(it) }) { allAlive(it, 6) },
            case("all zones partitioned, then healed", listOf(1, 1, 1), limitMillis = 30_000, { cutAllAndHeal(it) }) { allAlive(it, 3) },
        )

        private fun case(
            name: String,
            zones: List<Int>,
            limitMillis: Long,
            event: (FleetNetwork) -> Unit = {},
            lossPercent: Int = 0,
            isSettled: (FleetNetwork) -> Boolean,
        ) = MembershipCase(name, zones, event, limitMillis, lossPercent, isSettled)

        private fun converged(case: MembershipCase, seed: Int): FleetNetwork {
            val network = FleetNetwork(FleetSettings(seeds = listOf("a0", "b0")), Random(seed), case.lossPercent)
            startZones(network, case.zones)
            assertNotNull(network.runUntil(CONVERGE_MILLIS) { allAlive(network, case.zones.sum()) }, "start: ${views(network)}")
            return network
        }

        private fun startZones(network: FleetNetwork, zones: List<Int>) = zones.forEachIndexed { index, size ->
            repeat(size) { network.start("${'a' + index}$it", "${'a' + index}") }
        }

        private fun FleetNetwork.cut(zone: String) {
            isCut = { from, to -> (from.value == zone) != (to.value == zone) }
        }

        private fun stopBoth(network: FleetNetwork) {
            network.stop("a1")
            network.stop("a2")
        }

        private fun restart(network: FleetNetwork) {
            network.stop("a1")
            network.start("a1", "a", incarnation = 9)
        }

        private fun cutAndHeal(network: FleetNetwork) {
            network.cut("c")
            network.run(20_000)
            network.isCut = { _, _ -> false }
        }

        private fun cutAllAndHeal(network: FleetNetwork) {
            network.isCut = { from, to -> from != to }
            network.run(20_000)
            network.isCut = { _, _ -> false }
        }

        private fun live(network: FleetNetwork, vm: VmId) = network.view(vm.value).daemons.values.filter { it.state == DaemonState.ALIVE }

        private fun allAlive(network: FleetNetwork, count: Int) = network.running().all { live(network, it).size == count }

        private fun zoneHasLive(network: FleetNetwork, zone: String, count: Int) = network
            .running()
            .filter { it.value.startsWith(zone) && network.view(it.value).daemons[it]?.state == DaemonState.ALIVE }
            .all { network.view(it.value).liveDaemonsOf(ZoneId(zone)).size == count }

        private fun seesOnlyOwnSide(network: FleetNetwork) = network.running().all { vm ->
            val isCutOff = vm.value.startsWith("c")
            live(network, vm).map { it.vm.value.startsWith("c") } == List(if (isCutOff) 2 else 4) { isCutOff }
        }

        private fun allKnow(network: FleetNetwork, target: String, term: Term) =
            network.running().all { network.view(it.value).targets[TargetId(target)]?.term == term }

        private fun views(network: FleetNetwork) = network.running().associateWith { vm ->
            network.view(vm.value).daemons.values.map { "${it.vm}:${it.state}" }
        }

        private fun target(name: String) = TargetEntry(
            target = TargetId(name),
            group = GroupId("g"),
            zone = ZoneId("a"),
            address = "t:1",
            role = TargetRole.REPLICA,
            term = Term(1),
            received = LogPosition(1),
            applied = LogPosition(1),
            slots = 3,
        )
    }
}
