package org.buckthornhub.instancepool

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import org.buckthornhub.clock.Clock
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.task.Task
import org.buckthornhub.task.startTicker

/** Logs changes of the shares of reads that leave the zone, and ejections of instances. */
internal class LoadLogTask(
    private val pool: StateSource<PoolState>,
    private val priceMillis: Long,
    private val clock: Clock,
) : Task<Unit>("load-log") {
    private var state = LoadLogState()

    override suspend fun onStart(scope: CoroutineScope) {
        scope.startTicker(this, TICK_MILLIS, Unit)
    }

    override suspend fun handle(message: Unit) {
        val current = pool.current()
        val nowMillis = clock.nowMillis()
        val changed = state.changedShares(current, nowMillis)
        changed.forEach { (group, share) ->
            logger.info {
                "share of reads of group $group that leaves the zone: %.2f, excess %.0f ms here and %.0f ms elsewhere, price %d ms"
                    .format(share.share, share.homeMillis, share.awayMillis, priceMillis)
            }
        }
        state.ejected(current).forEach {
            logger.warn {
                "instance ${it.record.target} gets no reads for ${it.load.outlier.pauseMillis} ms: " +
                    "%.0f %% of its recent statements failed".format(it.load.failures.mean * PERCENT)
            }
        }
        state = state.logged(changed, current, nowMillis)
    }

    private companion object {
        const val TICK_MILLIS = 500L
        const val PERCENT = 100
        val logger = KotlinLogging.logger {}
    }
}
