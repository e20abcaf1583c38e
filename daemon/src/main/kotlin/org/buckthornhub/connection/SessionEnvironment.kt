package org.buckthornhub.connection

import kotlinx.coroutines.Job
import kotlinx.coroutines.flow.StateFlow
import org.buckthornhub.clock.Clock
import org.buckthornhub.coordination.ProxyView
import org.buckthornhub.decisionlog.DecisionLog
import org.buckthornhub.horizon.HorizonTask
import org.buckthornhub.instancepool.PoolTask
import org.buckthornhub.quota.MeterTask

/**
 * What all sessions of a daemon share.
 *
 * @property leaving completes when sessions that have nothing open have to end
 * @property isCutOff whether this daemon reaches neither the control quorum nor most leaders
 */
internal class SessionEnvironment(
    val settings: SessionSettings,
    val view: StateFlow<ProxyView>,
    val pool: PoolTask,
    val horizons: HorizonTask,
    val meter: MeterTask,
    val leaving: Job,
    val isCutOff: () -> Boolean,
    val decisions: DecisionLog,
    val clock: Clock,
)
