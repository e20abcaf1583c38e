package org.buckthornhub.instancepool

import kotlinx.collections.immutable.persistentListOf
import org.buckthornhub.decision.Decision
import org.buckthornhub.instancepool.waiting.HoldKind
import org.buckthornhub.instancepool.waiting.RefusalReason
import org.buckthornhub.instancepool.waiting.ReturnDecider
import org.buckthornhub.instancepool.waiting.WaitingSettings

/** Decides what a refused statement is told. */
internal class RefusalDecider(
    private val eligibility: InstanceEligibility,
    private val settings: WaitingSettings,
) {
    /** Returns whether no instance may serve [waiting] before its deadline; false while no instance of its group is known. */
    fun isHopeless(state: PoolState, waiting: PendingConnectionRequest, nowMillis: Long): Boolean {
        val instances = state.instances.values.filter { it.record.group == waiting.request.group }
        return instances.isNotEmpty() && instances.none { eligibility.mayServeUntil(it, waiting, nowMillis) }
    }

    /** @param freeInMillis expected time in ms until there is capacity; null for the usual time of one statement */
    fun refuse(
        state: PoolState,
        waiting: PendingConnectionRequest,
        reason: RefusalReason,
        nowMillis: Long,
        freeInMillis: Double? = null,
    ): Decision<PoolState, PoolEffect> {
        val isPrimaryKnown =
            state.instances.values.any { it.record.group == waiting.request.group && eligibility.servesAsPrimary(it, nowMillis) }
        if (!settings.schedulesReturns) return Decision(state, persistentListOf(PoolEffect.Refuse(waiting.ticket, !isPrimaryKnown)))
        val kind = HoldKind.of(waiting)
        val isOutage = reason == RefusalReason.NO_INSTANCE || !isPrimaryKnown && kind.needsPrimary
        val known = if (isOutage) {
            state.copy(
                waits = state.waits.copy(outages = state.waits.outages.began(kind.service, nowMillis)),
            )
        } else {
            state
        }
        val freeMillis = when {
            isOutage -> known.waits.outages.remainingMillis(kind.service, nowMillis).toDouble()
            else -> freeInMillis ?: known.waits.holds.costMillis(kind, nowMillis)
        }
        val (next, afterMillis) = ReturnDecider.returnOf(known, kind.service, freeMillis, waiting.maxReturnMillis, nowMillis)
        val refusal = PoolEffect.Refuse(waiting.ticket, !isPrimaryKnown, reason, afterMillis, waiting.estimatedMillis)
        return Decision(next, persistentListOf(refusal))
    }
}
