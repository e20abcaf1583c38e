package org.buckthornhub.routing

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Compares the replica policy with the primary policy and with an oracle that knows every position, over seeded traces. */
internal class ReplicaShareTest {
    @ParameterizedTest
    @MethodSource("lags")
    fun `no read is stale, and replicas serve at least 95 percent of the reads that the oracle sends to them`(lagMillis: Long) {
        val results = seeds.map { ReplicaShareTrace(it, lagMillis).run(ReplicaRoutePolicy()) }
        val reads = results.sumOf { it.reads }
        val byReplica = results.sumOf { it.byReplica }
        val byOracle = results.sumOf { it.byOracle }
        val waited = results.sumOf { it.waitedMillis }.toDouble() / reads
        println("replica share at lag $lagMillis ms: $byReplica of $reads reads, oracle $byOracle, mean wait %.2f ms".format(waited))
        assertEquals(0, results.sumOf { it.stale })
        assertTrue(byReplica >= byOracle * 0.95, "$byReplica of $byOracle")
        assertTrue(waited < 2.0, "mean wait $waited ms")
    }

    @ParameterizedTest
    @MethodSource("lags")
    fun `the primary policy returns no stale reads either and sends fewer to replicas`(lagMillis: Long) {
        val primaryOnly = ReplicaShareTrace(seed = 1, lagMillis).run(PrimaryRoutePolicy())
        val withReplicas = ReplicaShareTrace(seed = 1, lagMillis).run(ReplicaRoutePolicy())
        assertEquals(0, primaryOnly.stale + withReplicas.stale)
        assertTrue(withReplicas.byReplica >= primaryOnly.byReplica)
    }

    private companion object {
        val seeds = listOf(1, 2, 3)

        @JvmStatic
        fun lags(): List<Long> = listOf(0, 50, 500, 10_000)
    }
}
