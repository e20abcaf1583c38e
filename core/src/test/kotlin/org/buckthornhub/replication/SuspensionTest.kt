package org.buckthornhub.replication

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Answers that lay in the socket while a VM stood still prove nothing, however young its monotonic clock takes them to be. */
internal class SuspensionTest {
    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6])
    fun `a proof that was asked for before a suspension is dropped, and a later one counts`(seed: Int) {
        val cluster = FakeCluster(Random(seed), isOpen = true)
        run(cluster, 2_000)
        for (vm in cluster.vms) {
            while (cluster.packets.isEmpty()) cluster.pass(20)
            cluster.step(vm, ReplicationMessage.Suspended)
            val awakeMillis = cluster.nowMillis
            assertEquals(null, cluster.nodes.getValue(vm).freshMillis)
            while (cluster.packets.isNotEmpty()) cluster.deliver(0)
            val early = cluster.nodes.getValue(vm).freshMillis
            assertTrue(early == null || early >= awakeMillis, "$vm trusts $early, from before $awakeMillis")
            run(cluster, 1_000)
            assertTrue(assertNotNull(cluster.nodes.getValue(vm).freshMillis) >= awakeMillis)
        }
    }

    private fun run(cluster: FakeCluster, millis: Long) {
        val end = cluster.nowMillis + millis
        while (cluster.nowMillis < end) {
            while (cluster.packets.isNotEmpty()) cluster.deliver(0)
            cluster.pass(20)
        }
    }
}
