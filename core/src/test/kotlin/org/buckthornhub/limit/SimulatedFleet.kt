package org.buckthornhub.limit

import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.organisation.OrganisationId
import kotlin.random.Random

/** Simulates daemons, control leaders and the network between them in virtual time, from one seed. */
internal class SimulatedFleet(val plan: FleetPlan) {
    val time = VirtualTime()
    private val random = Random(plan.seed)
    private val faults = plan.faults
    private val zones = (0 until plan.zones).map { ZoneId("z$it") }
    private var daemons = emptyList<SimulatedDaemon>()
    private var partitionedZone: ZoneId? = null
    private var term = 1L
    var limits: Map<OrganisationId, RateLimit> = plan.limits.mapIndexed { index, limit -> OrganisationId("o$index") to limit }.toMap()
    var messages = 0L
        private set
    var leader: SimulatedLeader = SimulatedLeader(this, term, newClock())
        private set
    private var previousLeader = leader
    val shareZones: Set<ZoneId> = (0 until plan.vms).map { plan.strategy.shareZone(zones[it % plan.zones], it) }.toSet()

    init {
        daemons = (0 until plan.vms).map { newDaemon(it) }
        daemons.forEach { it.start() }
        schedule(faults.restartMillis) { restartRandomDaemon() }
        schedule(faults.pauseMillis) { daemons.random(random).pausedUntilMicros = time.nowMicros + random.nextLong(1, 3_000_000) }
        schedule(faults.partitionMillis) { partition() }
        schedule(faults.leaderChangeMillis) { changeLeader() }
    }

    fun arrive(vm: Int, organisation: OrganisationId, done: (Boolean) -> Unit) =
        daemons[vm].arrive(organisation, limits.getValue(organisation), done)

    /** Changes the limits; each daemon receives the change within 2 s, possibly after its next lease. */
    fun changeLimits(changed: Map<OrganisationId, RateLimit>) {
        limits = changed
        daemons.forEach { daemon -> time.after(random.nextLong(2_000_000)) { daemon.changeLimits(changed) } }
    }

    fun shareZoneOf(daemon: SimulatedDaemon): ZoneId = plan.strategy.shareZone(daemon.zone, daemon.index)

    fun zonesSeenFrom(daemon: SimulatedDaemon): List<ZoneId> {
        val own = shareZoneOf(daemon)
        return if (plan.strategy.isShareByVm) listOf(own) else listOf(own) + (zones - own).shuffled(random)
    }

    fun isHolder(daemon: SimulatedDaemon, organisation: OrganisationId): Boolean = holderOf(shareZoneOf(daemon), organisation) === daemon

    fun send(from: SimulatedDaemon, zone: ZoneId, organisation: OrganisationId, request: TokenRequest, reply: (TokenReply) -> Unit) {
        val to = holderOf(zone, organisation)
        if (to === from) return to.onRequest(request, reply)
        transmit(from.zone, to.zone) {
            val reached = daemons[to.index]
            reached.onRequest(request) { answer -> transmit(reached.zone, from.zone) { reply(answer) } }
        }
    }

    fun requestShares(from: SimulatedDaemon, request: ShareRequest, reply: (ShareReply) -> Unit) {
        val to = if (random.nextInt(100) < 20) previousLeader else leader
        transmit(from.zone, zones.first()) { to.request(request) { answer -> transmit(zones.first(), from.zone) { reply(answer) } } }
    }

    private fun holderOf(zone: ZoneId, organisation: OrganisationId): SimulatedDaemon {
        val inZone = daemons.filter { shareZoneOf(it) == zone }
        val isWrong = random.nextInt(100) < faults.wrongHolderPercent
        return if (isWrong) inZone.random(random) else inZone[Math.floorMod(organisation.hashCode(), inZone.size)]
    }

    private fun transmit(from: ZoneId, to: ZoneId, arrive: () -> Unit) {
        messages++
        if (from != to && (from == partitionedZone || to == partitionedZone) || random.nextInt(100) < faults.lossPercent) return
        val copies = if (random.nextInt(100) < faults.duplicatePercent) 2 else 1
        repeat(copies) { time.after(delayMicros(from, to)) { arrive() } }
    }

    private fun delayMicros(from: ZoneId, to: ZoneId): Long {
        val usual = if (from == to) 200L else 1_000L
        return if (random.nextInt(100) < faults.slowPercent) usual + random.nextLong(400_000) else usual
    }

    private fun restartRandomDaemon() {
        val old = daemons.random(random)
        old.isDead = true
        val restarted = newDaemon(old.index)
        daemons = daemons.map { if (it === old) restarted else it }
        restarted.start()
    }

    private fun partition() {
        partitionedZone = zones.random(random)
        time.after(random.nextLong(1, 4_000_000)) { partitionedZone = null }
    }

    private fun changeLeader() {
        previousLeader = leader
        leader = SimulatedLeader(this, ++term, newClock())
    }

    private fun newDaemon(index: Int) = SimulatedDaemon(this, index, zones[index % plan.zones], newClock(), random.nextLong())

    private fun newClock(): DriftingClock {
        val drift = if (faults.driftPartsPerMillion ==
            0
        ) {
            0
        } else {
            random.nextInt(-faults.driftPartsPerMillion, faults.driftPartsPerMillion + 1)
        }
        return DriftingClock(time, random.nextLong(1_000_000_000), drift.toLong())
    }

    private fun schedule(meanMillis: Int, action: () -> Unit) {
        if (meanMillis == 0) return
        time.after(random.nextLong(1, meanMillis * 2_000L)) {
            action()
            schedule(meanMillis, action)
        }
    }
}
