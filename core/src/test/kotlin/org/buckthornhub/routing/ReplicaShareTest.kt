package org.buckthornhub.routing

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** The real policy against the naive one and an oracle that knows every position, over seeded traces. */
internal class ReplicaShareTest {
    @ParameterizedTest
    @MethodSource("lags")
    fun `no read is stale, and replicas serve nearly what an oracle could have them serve`(lagMillis: Long) {
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
    fun `the naive policy has the same safety and a smaller share`(lagMillis: Long) {
        val naive = ReplicaShareTrace(seed = 1, lagMillis).run(PrimaryRoutePolicy())
        val real = ReplicaShareTrace(seed = 1, lagMillis).run(ReplicaRoutePolicy())
        assertEquals(0, naive.stale + real.stale)
        assertTrue(real.byReplica >= naive.byReplica)
    }

    private companion object {
        val seeds = listOf(1, 2, 3)

        @JvmStatic
        fun lags(): List<Long> = listOf(0, 50, 500, 10_000)
    }
}
