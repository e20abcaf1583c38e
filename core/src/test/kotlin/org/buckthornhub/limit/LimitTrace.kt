package org.buckthornhub.limit

import org.buckthornhub.organisation.OrganisationId
import kotlin.math.ln
import kotlin.random.Random

/** Runs a trace on a fleet; the same seed gives the same arrivals for each strategy. */
internal class LimitTrace(
    private val kind: TraceKind,
    private val seed: Int,
    private val runSeconds: Int,
) {
    fun run(plan: FleetPlan): TraceResult {
        val fleet = SimulatedFleet(plan)
        val recorders = plan.limits.map { LimitRecorder(it, fleet.time) }
        fleet.time.runUntil(WARM_UP_MICROS)
        val before = fleet.messages
        recorders.forEachIndexed { index, recorder -> start(fleet, Random(seed * 100 + index), index, plan.limits[index], recorder) }
        fleet.time.runUntil(WARM_UP_MICROS + runSeconds * 1_000_000L)
        val records = recorders.map { it.record }
        return TraceResult(records, (fleet.messages - before) / plan.vms.toDouble() / runSeconds)
    }

    private fun start(fleet: SimulatedFleet, random: Random, index: Int, limit: RateLimit, recorder: LimitRecorder) {
        fun arrive() {
            recorder.arrived()
            val vm = kind.vm(random, fleet.plan.vms, index, fleet.time.nowMicros)
            fleet.arrive(vm, OrganisationId("o$index")) { recorder.ended(it) }
        }

        fun nextSteady() {
            arrive()
            val meanMicros = 100_000_000_000_000.0 / limit.microPerSecond / kind.loadPercent
            val factor = if (kind == TraceKind.EVEN_ROAMING) 0.5 + random.nextDouble() else -ln(1 - random.nextDouble())
            fleet.time.after((factor * meanMicros).toLong() + 1) { nextSteady() }
        }

        fun nextBurst() {
            val count = (limit.burst.micro / TokenAmount.ONE.micro).toInt()
            repeat(count) { fleet.time.after(random.nextLong(20_000)) { arrive() } }
            val refillMicros = limit.millisToRefill(limit.burst) * 1_000
            fleet.time.after(refillMicros + 500_000 + random.nextLong(1_000_000)) { nextBurst() }
        }
        if (kind == TraceKind.BURST_AT_ONE_VM) nextBurst() else nextSteady()
    }

    private companion object {
        const val WARM_UP_MICROS = 12_000_000L
    }
}
