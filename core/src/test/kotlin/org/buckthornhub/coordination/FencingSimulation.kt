package org.buckthornhub.coordination

import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.failover.FailoverDecider
import org.buckthornhub.failover.FailoverEffect
import org.buckthornhub.failover.FailoverMessage
import org.buckthornhub.failover.InstanceStatus
import org.buckthornhub.fleet.VmId
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Position
import org.buckthornhub.group.PrimaryDesignation
import org.buckthornhub.group.PrimaryDesignations
import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole
import java.util.PriorityQueue
import kotlin.random.Random

/** One control leader and ten daemons in virtual time; the primary is cut off at [CUT_MILLIS]. */
internal class FencingSimulation(
    private val case: FencingCase,
    seed: Int,
) {
    private val random = Random(seed)
    private val decider = CoordinatorDecider(FailoverDecider(case.settings))
    private val queue = PriorityQueue<Event>(compareBy { it.atMillis })
    private val proxies = (0 until DAEMONS).map {
        SimulatedProxy(VmId("vm$it"), isCut = it < case.cutDaemons, isFrozen = it >= DAEMONS - case.frozenDaemons)
    }
    private var state = CoordinatorState()
    private var isOldStopped = false
    private var designations = PrimaryDesignations()

    /** Time of the order to promote; null if there was none. */
    var promotedMillis: Long? = null
        private set

    /** Daemons that could use the old primary, still in its role, at or after the promotion. */
    var overlapping: Set<VmId> = emptySet()
        private set

    fun run() {
        for (record in listOf(primary, replica)) handle(CoordinatorMessage.Announced(record), 0)
        for (now in 0..END_MILLIS step STEP_MILLIS) {
            while ((queue.peek()?.atMillis ?: Long.MAX_VALUE) <= now) queue.poll().action(now)
            if (now % TICK_MILLIS == 0L) handle(CoordinatorMessage.Tick(isLeader = true, designations), now)
            proxies.filter { now >= it.nextReportMillis && !isFrozen(it, now) }.forEach { report(it, now) }
            if (promotedMillis != null) overlapping = overlapping + proxies.filter { mayUse(it, now) }.map { it.vm }
        }
    }

    // A suspended daemon sends nothing; when it wakes, its lease counts the time that it was suspended.
    private fun mayUse(proxy: SimulatedProxy, now: Long) =
        !isOldStopped && !isFrozen(proxy, now) && proxy.mayUse(group, primary.target, now)

    private fun isFrozen(proxy: SimulatedProxy, now: Long) = proxy.isFrozen && now in CUT_MILLIS until CUT_MILLIS + FREEZE_MILLIS

    private fun report(proxy: SimulatedProxy, now: Long) {
        proxy.nextReportMillis = now + REPORT_MILLIS
        if (now >= CUT_MILLIS + DETECT_MILLIS) proxy.unreachable = setOf(primary.target)
        if (isLost(proxy, now)) return
        val report = proxy.report()
        schedule(now + random.nextLong(MAX_DELAY_MILLIS)) { arrived ->
            handle(CoordinatorMessage.Reported(report), arrived)
            if (!isLost(proxy, arrived)) {
                val answer = designations
                schedule(arrived + random.nextLong(MAX_DELAY_MILLIS)) { proxy.receive(now, answer) }
            }
        }
    }

    private fun isLost(proxy: SimulatedProxy, now: Long) =
        proxy.isCut && now >= CUT_MILLIS || case.losesMessages && random.nextInt(LOST_ONE_IN) == 0

    private fun handle(message: CoordinatorMessage, now: Long) {
        val decision = decider.decide(state, message, now)
        state = decision.state
        decision.effects.forEach { carryOut(it, now) }
    }

    private fun carryOut(effect: FailoverEffect, now: Long) {
        when (effect) {
            is FailoverEffect.Survey -> later(now, FailoverMessage.Surveyed(group, effect.target, status))
            is FailoverEffect.Designate -> schedule(now + random.nextLong(MAX_DELAY_MILLIS)) {
                designations = designations.with(group, PrimaryDesignation(effect.target, effect.expected + 1))
                handle(CoordinatorMessage.Failover(FailoverMessage.Designated(group, effect.target, designations)), it)
                // The leader answers open reports at once.
                proxies.forEach { proxy -> proxy.nextReportMillis = minOf(proxy.nextReportMillis, it + STEP_MILLIS) }
            }
            is FailoverEffect.StopPrimary -> if (case.isPrimaryStopped) {
                schedule(now + random.nextLong(MAX_DELAY_MILLIS)) {
                    isOldStopped = true
                    later(it, FailoverMessage.PrimaryStopped(group, effect.target))
                }
            }
            is FailoverEffect.Promote -> promotedMillis = promotedMillis ?: now
            is FailoverEffect.SurveyHolder, is FailoverEffect.Resume -> error("the group has no synchronous replicas")
            is FailoverEffect.LogEvent -> Unit
        }
    }

    private fun later(now: Long, message: FailoverMessage) =
        schedule(now + random.nextLong(MAX_DELAY_MILLIS)) { handle(CoordinatorMessage.Failover(message), it) }

    private fun schedule(atMillis: Long, action: (Long) -> Unit) {
        queue.add(Event(atMillis, action))
    }

    private class Event(
        val atMillis: Long,
        val action: (Long) -> Unit,
    )

    companion object {
        /** When the primary and some daemons are cut off, in ms; the leader has known its fleet for long by then. */
        const val CUT_MILLIS = 6_000L
        private const val END_MILLIS = 16_000L
        private const val STEP_MILLIS = 10L
        private const val TICK_MILLIS = 200L
        private const val REPORT_MILLIS = 400L
        private const val DETECT_MILLIS = 600L
        private const val FREEZE_MILLIS = 6_000L
        private const val MAX_DELAY_MILLIS = 30L
        private const val LOST_ONE_IN = 10
        private const val DAEMONS = 10
        private val group = GroupId("g")
        private val primary = record("primary", TargetRole.PRIMARY)
        private val replica = record("replica", TargetRole.REPLICA)
        private val status = InstanceStatus(TargetRole.REPLICA, Position(Term(1), LogPosition(7)))

        private fun record(name: String, role: TargetRole) =
            InstanceRecord(TargetId(name), group, "10.0.0.1:${8_000 + role.ordinal}", ZoneId("a"), role, isLeaving = false, 1, 1)
    }
}
