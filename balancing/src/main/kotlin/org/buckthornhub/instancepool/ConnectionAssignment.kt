package org.buckthornhub.instancepool

import kotlinx.collections.immutable.persistentListOf
import org.buckthornhub.decision.Decision
import org.buckthornhub.decision.then
import org.buckthornhub.group.GroupId
import org.buckthornhub.instancepool.waiting.HeldConnection
import org.buckthornhub.instancepool.waiting.HoldKind
import org.buckthornhub.instancepool.waiting.WaitingSettings
import org.buckthornhub.organisation.OrganisationId

/** Assigns connections to waiting requests, and opens or closes connections for them. */
internal class ConnectionAssignment(
    private val cost: InstanceCost,
    private val settings: WaitingSettings,
) {
    fun serve(state: PoolState, nowMillis: Long): Decision<PoolState, PoolEffect> {
        val groups = groupsWithRoom(state, nowMillis)
        val candidates = if (groups.isEmpty()) emptyList() else state.waiting.filter { it.request.group in groups }
        if (candidates.isEmpty()) return Decision(state)
        // Each connection that is being opened serves one waiting request, which must not open a second one.
        val beingOpened: List<Pair<GroupId, OrganisationId>> =
            state.instances.values.flatMap { instance -> instance.opening.values.map { instance.record.group to it } }
        val start = Decision<PoolState, PoolEffect>(state) to beingOpened
        val tiers = settings.order.tiers(candidates, state.waits.progress) {
            state.waits.holds.costMillis(HoldKind.of(it), nowMillis)
        }
        return tiers.fold(start) { (decision, opening), tier ->
            val room = groupsWithRoom(decision.state, nowMillis)
            val waiting = tier.statements.filter { it.request.group in room && it in decision.state.waiting }
            val (served, left) = checkOutIdle(decision, waiting, nowMillis)
            if (tier.mayOpen) openForWaiting(served, left, opening, nowMillis) else served to opening
        }.first
    }

    // Spares looking at every waiting request while all connections are in use.
    private fun groupsWithRoom(state: PoolState, nowMillis: Long): Set<GroupId> {
        if (state.waiting.isEmpty()) return emptySet()
        return state.instances.values.filter { instance ->
            val mayOpen = instance.size < state.limitOf(instance.record.group) && nowMillis >= instance.retryAtMillis
            instance.idle.isNotEmpty() || mayOpen
        }.map { it.record.group }.toSet()
    }

    // A request that can use an idle connection gets it before the connection may be closed to make room for a new one.
    private fun checkOutIdle(
        start: Decision<PoolState, PoolEffect>,
        tier: List<PendingConnectionRequest>,
        nowMillis: Long,
    ): Pair<Decision<PoolState, PoolEffect>, List<PendingConnectionRequest>> =
        tier.fold(start to emptyList()) { (decision, left), waiting ->
            val instance = cheapest(decision.state, waiting, nowMillis)
            val open = instance?.idleConnectionFor(waiting.request)
            if (instance == null || open == null) return@fold decision to left + waiting
            decision.then { checkOut(it, instance, open, waiting, nowMillis) } to left
        }

    private fun openForWaiting(
        start: Decision<PoolState, PoolEffect>,
        tier: List<PendingConnectionRequest>,
        beingOpened: List<Pair<GroupId, OrganisationId>>,
        nowMillis: Long,
    ): Pair<Decision<PoolState, PoolEffect>, List<Pair<GroupId, OrganisationId>>> =
        tier.fold(start to beingOpened) { (decision, open), waiting ->
            val key = waiting.request.group to waiting.organisation
            if (key in open) return@fold decision to open - key
            val instance = cheapest(decision.state, waiting, nowMillis)?.takeIf { mayOpen(decision.state, it, waiting, nowMillis) }
            (if (instance == null) decision else decision.then { open(it, instance, waiting.organisation) }) to open
        }

    private fun cheapest(state: PoolState, waiting: PendingConnectionRequest, nowMillis: Long): PoolInstance? = state.instances.values
        .mapNotNull { instance -> cost.of(state, instance, waiting, nowMillis)?.let { instance to it } }
        .minByOrNull { it.second }?.first

    // A connection of the same organisation that is in use is released about as soon as a new one would be open.
    private fun mayOpen(state: PoolState, instance: PoolInstance, waiting: PendingConnectionRequest, nowMillis: Long): Boolean =
        instance.size < state.limitOf(instance.record.group) ||
            waiting.organisation !in instance.inUse.values ||
            nowMillis - waiting.sinceMillis >= PoolDecider.EVICTION_DELAY_MILLIS

    private fun checkOut(
        state: PoolState,
        instance: PoolInstance,
        connection: PoolConnection,
        waiting: PendingConnectionRequest,
        nowMillis: Long,
    ): Decision<PoolState, PoolEffect> {
        val next = state
            .copy(waiting = state.waiting.remove(waiting))
            .update(instance.record.target) {
                copy(idle = idle.remove(connection), inUse = inUse.put(connection.id, connection.state.organisation))
            }
        val effect = PoolEffect.CheckOut(waiting.ticket, connection, instance.record, waiting.estimatedMillis)
        return Decision(recorded(next, connection.id, waiting, nowMillis), persistentListOf(effect))
    }

    private fun recorded(state: PoolState, connection: ConnectionId, served: PendingConnectionRequest, nowMillis: Long): PoolState {
        if (!settings.isMeasured) return state
        val kind = HoldKind.of(served)
        val costMillis = state.waits.holds.costMillis(kind, nowMillis)
        val waits = state.waits.copy(
            progress = settings.order.afterService(state.waits.progress, served, state.waiting, costMillis),
            holds = state.waits.holds.checkedOut(connection, HeldConnection(kind, served.organisation, nowMillis, costMillis)),
            outages = state.waits.outages.ended(kind.service, nowMillis),
        )
        return state.copy(waits = waits)
    }

    private fun open(state: PoolState, instance: PoolInstance, organisation: OrganisationId): Decision<PoolState, PoolEffect> {
        val target = instance.record.target
        val evicted = if (instance.size >= state.limitOf(instance.record.group)) instance.idle.firstOrNull() else null
        val room = if (evicted == null) Decision(state) else closing(state.update(target) { copy(idle = idle.remove(evicted)) }, evicted.id)
        return room.then {
            val id = ConnectionId(it.nextConnection)
            val next = it.copy(nextConnection = it.nextConnection + 1).update(target) { copy(opening = opening.put(id, organisation)) }
            Decision(next, persistentListOf(PoolEffect.Open(id, instance.record, organisation)))
        }
    }

    private fun closing(state: PoolState, connection: ConnectionId): Decision<PoolState, PoolEffect> =
        Decision(state, persistentListOf(PoolEffect.Close(connection)))

    private val PendingConnectionRequest.organisation: OrganisationId get() = request.organisation ?: OrganisationId.NONE
}
