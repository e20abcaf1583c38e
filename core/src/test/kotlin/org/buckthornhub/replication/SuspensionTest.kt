package org.buckthornhub.replication

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/**
 * Answers that waited in the socket while a VM was suspended prove no freshness: the monotonic clock may have stopped as well,
 * so that they appear recent.
 */
internal class SuspensionTest {
    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6])
    fun `a confirmation requested before a suspension is ignored and a later one is accepted`(seed: Int) {
        val cluster = FakeCluster(Random(seed), allowsStandby = true)
        run(cluster, 2_000)
        for (vm in cluster.vms) {
            while (cluster.packets.isEmpty()) cluster.advance(20)
            cluster.step(vm, ReplicationMessage.Suspended)
            val resumedMillis = cluster.nowMillis
            assertEquals(null, cluster.nodes.getValue(vm).freshMillis)
            while (cluster.packets.isNotEmpty()) cluster.deliver(0)
            val early = cluster.nodes.getValue(vm).freshMillis
            assertTrue(
                early == null || early >= resumedMillis,
                "$vm accepts a confirmation from $early, before it resumed at $resumedMillis",
            )
            run(cluster, 1_000)
            assertTrue(assertNotNull(cluster.nodes.getValue(vm).freshMillis) >= resumedMillis)
        }
    }

    private fun run(cluster: FakeCluster, millis: Long) {
        val end = cluster.nowMillis + millis
        while (cluster.nowMillis < end) {
            while (cluster.packets.isNotEmpty()) cluster.deliver(0)
            cluster.advance(20)
        }
    }
}
