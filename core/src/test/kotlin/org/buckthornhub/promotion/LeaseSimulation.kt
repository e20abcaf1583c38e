package org.buckthornhub.promotion

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.buckthornhub.control.ControlLeadership
import org.buckthornhub.fleet.VmId
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.Term
import org.buckthornhub.lease.GroupTerm
import org.buckthornhub.lease.HolderDecider
import org.buckthornhub.lease.HolderEffect
import org.buckthornhub.lease.HolderId
import org.buckthornhub.lease.HolderMessage
import org.buckthornhub.lease.HolderState
import org.buckthornhub.lease.RenewRequest
import org.buckthornhub.target.TargetId
import kotlin.random.Random

/** Simulates lease holders, control VMs and the instances of one group in virtual time, with faults derived from a seed. */
internal class LeaseSimulation(
    seed: Long,
    private val settings: PromotionSettings = PromotionSettings(),
    private val faults: SimulationFaults = SimulationFaults(),
) {
    private val random = Random(seed)
    private val holderDecider = HolderDecider(settings.lease)
    private val decider = PromotionDecider(settings)
    private val schedule = SimulatedSchedule(random, faults)
    private val targets = SimulatedTargets(SIZE, random)
    private val quorum = SimulatedQuorum { committed(it) }
    private val checks = SimulationChecks()
    private var daemons: PersistentList<SimulatedDaemon> = List(SIZE) { index ->
        SimulatedDaemon(HolderState(HolderId(VmId("d$index"), 1)), clock(), owned = setOf(TargetId("t$index")))
    }.toPersistentList()
    private var controls: PersistentList<SimulatedControl> = List(SIZE) { SimulatedControl(clock = clock()) }.toPersistentList()

    fun run(faultPhaseMillis: Long, recoveryPhaseMillis: Long): SimulationResult {
        elect(0)
        daemons.indices.forEach { renewEvery(it) }
        controls.indices.forEach { tickEvery(it) }
        while (schedule.now < faultPhaseMillis + recoveryPhaseMillis) {
            schedule.step()
            if (schedule.now < faultPhaseMillis && random.nextInt(faults.faultIntervalMillis) == 0) fault()
            if (schedule.now == faultPhaseMillis) endFaults()
            if (schedule.now % CHECK_MILLIS == 0L) checks.checkHolders(schedule.now, daemons, quorum.committed)
            if (schedule.now % REPLICATE_MILLIS == 0L) targets.replicate()
            if (schedule.now % WRITE_MILLIS == 0L) daemons.indices.filter { daemons[it].pausedUntil <= schedule.now }.forEach { write(it) }
        }
        return checks.result(isHeldAtEnd = daemons.any { it.holdsLease(schedule.now) })
    }

    private fun clock() = SimulatedClock(100 + random.nextLong(-faults.driftPercent, faults.driftPercent + 1), random.nextLong(1_000_000))

    private fun atDaemon(index: Int, action: () -> Unit) {
        val wait = daemons[index].pausedUntil - schedule.now
        if (wait > 0) schedule.after(wait) { atDaemon(index, action) } else action()
    }

    private fun atControl(index: Int, action: () -> Unit) {
        val wait = controls[index].pausedUntil - schedule.now
        if (wait > 0) schedule.after(wait) { atControl(index, action) } else action()
    }

    private fun renewEvery(index: Int) {
        schedule.after(settings.lease.renewMillis) {
            atDaemon(index) { renew(index) }
            renewEvery(index)
        }
    }

    private fun renew(index: Int) {
        val daemon = daemons[index]
        val ownTargets = daemon.owned.map { targets.get(it) }
        val wanted = listOfNotNull(daemon.leadership).filter { found -> ownTargets.any { it.id == found.primary && it.isAlive } }
        deliver(index, HolderMessage.Renew(wanted.map { GroupTerm(it.group, it.term) }, ownTargets.map { it.report() }))
    }

    private fun deliver(index: Int, message: HolderMessage) {
        val daemon = daemons[index]
        val decision = holderDecider.decide(daemon.state, message, daemon.clock.at(schedule.now))
        daemons = daemons.set(index, daemon.copy(state = decision.state))
        decision.effects.forEach { effect ->
            when (effect) {
                is HolderEffect.Send -> send(index, effect.request)
                is HolderEffect.RenewAfter -> schedule.after(effect.delayMillis) { atDaemon(index) { renew(index) } }
            }
        }
    }

    private fun send(index: Int, request: RenewRequest) {
        val control = if (random.nextInt(10) == 0) random.nextInt(SIZE) else quorum.leader
        schedule.after(RENEW_TIMEOUT_MILLIS) { answer(index, request, HolderMessage.Unanswered(request.sequence)) }
        schedule.send { atControl(control) { confirm(index, control, request) } }
    }

    private fun answer(index: Int, request: RenewRequest, message: HolderMessage) = atDaemon(index) {
        if (daemons[index].state.holder == request.holder) deliver(index, message)
    }

    // The control VM may be paused between the confirmation and the grant, and lose its leadership in between.
    private fun confirm(index: Int, control: Int, request: RenewRequest) {
        val before = controls[control]
        val fromMillis = before.clock.at(schedule.now)
        schedule.after(schedule.delay()) {
            val leaderships = quorum.leaderships()
            if (before.isLeader && quorum.isLeader(control, before.controlTerm)) {
                val reply = RenewReply { schedule.send { answer(index, request, HolderMessage.Answered(it)) } }
                val message = PromotionMessage.Renewed(request, before.controlTerm, fromMillis, leaderships, reply)
                schedule.after(schedule.delay()) { decide(control, message) }
            }
        }
    }

    private fun elect(index: Int) {
        val old = quorum.leader
        quorum.elect(index)
        val control = controls[index]
        val sinceMillis = control.clock.at(schedule.now)
        controls = controls.set(index, control.copy(controlTerm = quorum.controlTerm, isLeader = true, sinceMillis = sinceMillis))
        if (old == index) return
        schedule.after(schedule.delay()) {
            if (quorum.leader != old) controls = controls.set(old, controls[old].copy(isLeader = false))
        }
    }

    private fun tickEvery(index: Int) {
        schedule.after(TICK_MILLIS) {
            tick(index)
            tickEvery(index)
        }
    }

    private fun tick(index: Int) {
        val control = controls[index]
        val leadership = ControlLeadership(control.controlTerm, null, control.isLeader, control.sinceMillis)
        val isLeader = quorum.isLeader(index, control.controlTerm)
        decide(index, PromotionMessage.Tick(leadership, if (isLeader) quorum.leaderships() else control.state.leaderships))
    }

    private fun decide(index: Int, message: PromotionMessage): Unit = atControl(index) {
        val control = controls[index]
        val decision = decider.decide(control.state, message, control.clock.at(schedule.now))
        controls = controls.set(index, control.copy(state = decision.state))
        decision.effects.forEach { carryOut(index, it) }
    }

    private fun carryOut(index: Int, effect: PromotionEffect) {
        val term = controls[index].state.control.controlTerm
        when (effect) {
            is PromotionEffect.Answer -> effect.reply.complete(effect.response)
            is PromotionEffect.AnswerMove -> effect.reply.complete(effect.result)
            is PromotionEffect.Survey -> schedule.after(effect.delayMillis + schedule.delay()) { survey(index, effect) }
            is PromotionEffect.Commit -> schedule.after(schedule.delay()) { commit(index, term, effect) }
            is PromotionEffect.OrderPromotion -> schedule.send { promote(index, effect.leadership) }
            is PromotionEffect.OrderFollow -> schedule.send {
                quorum.committed?.takeIf { it.term == effect.term }?.let { targets.follow(effect.target, it) }
            }

            is PromotionEffect.Offer -> schedule.send { offer(effect) }
        }
    }

    private fun survey(index: Int, effect: PromotionEffect.Survey) {
        val answers = targets.answers { schedule.isLost() }
        schedule.after(schedule.delay()) {
            decide(index, PromotionMessage.Surveyed(effect.group, effect.expected, effect.askedMillis, answers))
        }
    }

    private fun commit(index: Int, term: Long, effect: PromotionEffect.Commit) {
        val outcome = quorum.commit(index, term, effect.command).takeUnless { schedule.isLost() }
        schedule.after(schedule.delay()) { decide(index, PromotionMessage.Committed(effect.command.leadership, outcome)) }
    }

    private fun committed(leadership: GroupLeadership) {
        checks.committed(schedule.now, leadership)
        daemons.indices.forEach { daemon -> schedule.after(schedule.delay()) { learn(daemon, leadership) } }
    }

    private fun learn(index: Int, leadership: GroupLeadership) {
        val daemon = daemons[index]
        if (leadership.term > (daemon.leadership?.term ?: Term.NONE)) daemons = daemons.set(index, daemon.copy(leadership = leadership))
    }

    private fun promote(index: Int, leadership: GroupLeadership) {
        val isDone = targets.promote(leadership)
        schedule.after(schedule.delay()) { decide(index, PromotionMessage.Ordered(leadership, isDone)) }
    }

    private fun offer(effect: PromotionEffect.Offer) {
        val index = daemons.indexOfFirst { it.state.holder.vm == effect.vm }
        learn(index, effect.leadership)
        atDaemon(index) { renew(index) }
    }

    private fun write(index: Int) {
        val daemon = daemons[index]
        val term = daemon.state.held.termForNewWrite(SimulatedTarget.GROUP, daemon.clock.at(schedule.now)) ?: return
        val primary = targets.append(daemon.owned, term) ?: return
        val write = SimulatedWrite(term, primary.received)
        schedule.after(random.nextLong(REPLICATE_MILLIS, MAX_WRITE_MILLIS)) {
            atDaemon(index) {
                val isHeld = daemons[index].holdsLease(schedule.now, term) && daemons[index].state.holder == daemon.state.holder
                if (isHeld && targets.hasCopy(primary.id, write)) checks.acknowledged(schedule.now, write, quorum.committed)
            }
        }
    }

    private fun fault() {
        val index = random.nextInt(SIZE)
        val target = TargetId("t$index")
        val pausedUntil = schedule.now + random.nextLong(MAX_PAUSE_MILLIS)
        when (random.nextInt(8)) {
            0, 1 -> targets.toggleAlive(target)
            2 -> elect(index)
            3 -> daemons = daemons.set(index, daemons[index].copy(pausedUntil = maxOf(pausedUntil, daemons[index].pausedUntil)))
            4 -> controls = controls.set(index, controls[index].copy(pausedUntil = maxOf(pausedUntil, controls[index].pausedUntil)))
            5 -> restart(index)
            6 -> moveOwner(target, to = random.nextInt(SIZE))
            7 -> decide(quorum.leader, PromotionMessage.Move(SimulatedTarget.GROUP, target) {})
        }
    }

    private fun restart(index: Int) {
        val holder = daemons[index].state.holder
        daemons =
            daemons.set(
                index,
                daemons[index].copy(state = HolderState(holder.copy(incarnation = holder.incarnation + 1)), leadership = null),
            )
        quorum.committed?.let { known -> schedule.after(schedule.delay()) { learn(index, known) } }
    }

    // For a while both the old and the new owner consider the target their own.
    private fun moveOwner(target: TargetId, to: Int) {
        daemons = daemons.set(to, daemons[to].copy(owned = daemons[to].owned + target))
        schedule.after(schedule.delay()) {
            if (schedule.isFaultFree) return@after
            daemons = daemons.mapIndexed { index, daemon -> if (index == to) daemon else daemon.copy(owned = daemon.owned - target) }
                .toPersistentList()
        }
    }

    private fun endFaults() {
        schedule.isFaultFree = true
        targets.reviveAll()
        daemons = daemons.mapIndexed { index, daemon -> daemon.copy(owned = setOf(TargetId("t$index"))) }.toPersistentList()
        quorum.committed?.let { known -> daemons.indices.forEach { learn(it, known) } }
    }

    private companion object {
        const val SIZE = 3
        const val CHECK_MILLIS = 5L
        const val REPLICATE_MILLIS = 20L
        const val WRITE_MILLIS = 25L
        const val TICK_MILLIS = 50L
        const val MAX_WRITE_MILLIS = 200L
        const val MAX_PAUSE_MILLIS = 4_000L
        const val RENEW_TIMEOUT_MILLIS = 3_500L
    }
}
