package org.buckthornhub.instancepool

import org.buckthornhub.instancepool.load.InstanceLoad
import org.buckthornhub.instancepool.load.LoadEstimator
import org.buckthornhub.instancepool.load.OutlierDetector
import org.buckthornhub.instancepool.load.StatementKind
import org.buckthornhub.instancepool.load.StatementOutcome
import org.buckthornhub.instancepool.load.StatementSample
import org.buckthornhub.instancepool.load.UsualTime
import org.buckthornhub.target.TargetId

/** Adds the results of statements to the measured load of their instance and its zone. */
internal class LoadRecorder(
    private val settings: PoolSettings,
    private val estimator: LoadEstimator,
) {
    fun record(state: PoolState, target: TargetId, sample: StatementSample, nowMillis: Long): PoolState {
        val instance = state.instances[target] ?: return state
        val kind = StatementKind(instance.record.group, sample.priority)
        val isServed = sample.outcome == StatementOutcome.SERVED || sample.outcome == StatementOutcome.CONNECTED
        val usual = state.load.usual[kind]
        val excess = if (isServed) sample.millis - (usual?.millis ?: sample.millis.toDouble()) else InstanceLoad.REFUSED_MILLIS
        val learned = if (isServed) usual?.with(sample.millis.toDouble()) ?: UsualTime.of(sample.millis.toDouble()) else usual
        val kinds = if (learned == null) state.load.usual else state.load.usual.put(kind, learned)
        val fleet = estimator.sampled(state.load.copy(usual = kinds), instance.record.zone, excess, nowMillis)
        return state.copy(load = fleet).update(target) { sampled(state, this, sample, excess, nowMillis) }
    }

    /** Returns the number of recent statements at [instance]. */
    fun weightOf(instance: PoolInstance, nowMillis: Long): Double = instance.load.excess.weightAt(InstanceLoad.HALF_LIFE_MILLIS, nowMillis)

    private fun sampled(state: PoolState, instance: PoolInstance, sample: StatementSample, excess: Double, nowMillis: Long): PoolInstance {
        val known = instance.load
        val withExcess = known.copy(excess = known.excess.with(excess, InstanceLoad.HALF_LIFE_MILLIS, nowMillis))
        if (sample.outcome == StatementOutcome.CONNECTED) return instance.copy(load = withExcess)
        val isServed = sample.outcome == StatementOutcome.SERVED
        val isFailed = sample.outcome == StatementOutcome.FAILED
        val peers = state.instances.values.filter { it.record.group == instance.record.group && it.record.target != instance.record.target }
        val isLast = peers.none { mayServe(it, nowMillis) }
        val load = withExcess.copy(
            time = if (isServed) known.time.with(sample.millis.toDouble(), InstanceLoad.HALF_LIFE_MILLIS, nowMillis) else known.time,
            failures = known.failures.with(if (isFailed) 1.0 else 0.0, InstanceLoad.FAILURE_HALF_LIFE_MILLIS, nowMillis),
            outlier = OutlierDetector.sampled(known.outlier, isFailed, failureShare(peers, nowMillis), isLast, nowMillis),
        )
        // Served statements show that the instance is well, whatever it answers to attempts to connect.
        val retry = if (isServed) minOf(instance.retryAtMillis, nowMillis + settings.firstRetryMillis) else instance.retryAtMillis
        return instance.copy(load = load, retryAtMillis = retry)
    }

    private fun mayServe(instance: PoolInstance, nowMillis: Long): Boolean =
        instance.leavingSinceMillis == null && instance.retryAtMillis <= nowMillis && !instance.load.outlier.isEjected(nowMillis)

    private fun failureShare(peers: List<PoolInstance>, nowMillis: Long): Double {
        val weights = peers.map { it.load.failures.weightAt(InstanceLoad.FAILURE_HALF_LIFE_MILLIS, nowMillis) }
        return peers.indices.sumOf { peers[it].load.failures.mean * weights[it] } / (weights.sum() + PEER_PRIOR)
    }

    private companion object {
        /** Number of served statements that are assumed of the peers, which may have had none recently. */
        const val PEER_PRIOR = 4.0
    }
}
