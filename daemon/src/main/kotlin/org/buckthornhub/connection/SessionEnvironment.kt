package org.buckthornhub.connection

import kotlinx.coroutines.Job
import kotlinx.coroutines.flow.StateFlow
import org.buckthornhub.clock.Clock
import org.buckthornhub.coordination.ProxyView
import org.buckthornhub.decisionlog.DecisionLog
import org.buckthornhub.evacuation.ZoneEvacuations
import org.buckthornhub.horizon.CommitTimelineTask
import org.buckthornhub.instancepool.PoolTask
import org.buckthornhub.quota.RateLimiterTask

/**
 * Dependencies that all sessions of a daemon share.
 *
 * @property leaving completes when sessions without an open transaction have to end
 * @property isCutOff returns true while this daemon reaches neither the control quorum nor most primaries
 * @property evacuations evacuated zones, whose instances are used no more
 */
internal class SessionEnvironment(
    val settings: SessionSettings,
    val view: StateFlow<ProxyView>,
    val pool: PoolTask,
    val commitTimelines: CommitTimelineTask,
    val authority: PrimaryAuthority,
    val rateLimiter: RateLimiterTask,
    val leaving: Job,
    val isCutOff: () -> Boolean,
    val decisions: DecisionLog,
    val clock: Clock,
    val evacuations: ZoneEvacuations = ZoneEvacuations.NONE,
) {
    /** Returns [millis] where times of return are fixed; null where [RefusalReturns] derives them from the measured load. */
    fun fixedReturn(millis: Long): Long? = millis.takeUnless { pool.adaptsToLoad }
}
