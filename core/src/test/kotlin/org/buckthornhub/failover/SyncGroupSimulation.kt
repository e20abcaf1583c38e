package org.buckthornhub.failover

import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Position
import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole
import kotlin.random.Random

/** A group whose replicas fall behind by turns while commits are acknowledged, and the decisions on its primary. */
internal class SyncGroupSimulation(
    private val case: SyncGroupCase,
    seed: Int,
) {
    private val random = Random(seed)
    private val decider = FailoverDecider()
    private var state = FailoverState()
    private val names = (1..case.replicas).map { "r$it" }
    private var received = names.associateWith { 0L }
    private var deaf = emptySet<String>()
    private var paused = emptySet<String>()
    private var committed = 0L
    private var acknowledged = 0L
    private var events = emptyList<Pair<Long, (Long) -> Unit>>()
    private val disturbedMillis = random.nextLong(3_000, 4_000)

    /** What the promoted instance had received, and what had been acknowledged by then; null if none was promoted. */
    var promoted: Pair<Long, Long>? = null
        private set

    fun run(): SyncGroupSimulation = apply {
        for (now in 0L..END_MILLIS) {
            if (promoted != null) return@apply
            val (due, later) = events.partition { it.first <= now }
            events = later
            due.forEach { it.second(now) }
            replicate(now)
            if (now % REVIEW_MILLIS == 0L) handle(review(now), now)
        }
    }

    private fun replicate(now: Long) {
        if (random.nextInt(DEAF_CHANGE) == 0) names.random(random).let { deaf = if (it in deaf) deaf - it else deaf + it }
        if (isPrimaryRunning(now)) {
            // The primary waits for the commit before.
            if (acknowledged == committed && random.nextInt(COMMIT_EVERY) == 0) committed += 1
            val sent = committed
            (names - deaf - paused).filter { random.nextBoolean() }.forEach { received = received + (it to sent) }
            if (received.values.count { it >= committed } >= case.syncReplicas) acknowledged = committed
        }
    }

    private fun isPrimaryRunning(now: Long) = !case.isPrimaryCrashed || now < disturbedMillis

    private fun review(now: Long): FailoverMessage.Review {
        val isDisturbed = now >= disturbedMillis
        val leader = record(LEADER, TargetRole.PRIMARY).copy(isLeaving = isDisturbed && !case.isPrimaryCrashed)
        val unreachable = if (isDisturbed && case.isPrimaryCrashed) setOf(leader.target) else emptySet()
        return FailoverMessage.Review(
            names.map { record(it, TargetRole.REPLICA) } + leader,
            unreachable,
            listeningSinceMillis = 0,
            syncReplicas = mapOf(group to case.syncReplicas),
        )
    }

    private fun handle(message: FailoverMessage, nowMillis: Long) {
        val decision = decider.decide(state, message, nowMillis)
        state = decision.state
        decision.effects.forEach { carryOut(it, nowMillis) }
    }

    private fun carryOut(effect: FailoverEffect, now: Long) {
        when (effect) {
            is FailoverEffect.SurveyHolder -> later(now, MAX_DELAY_MILLIS) { arrival ->
                val status = answerOf(effect)
                later(arrival, MAX_DELAY_MILLIS) {
                    handle(FailoverMessage.HolderAnswered(effect.group, effect.target, effect.round, status), it)
                }
            }
            is FailoverEffect.Survey -> later(now, MAX_DELAY_MILLIS) { arrival ->
                val status = statusOf(effect.target.value)
                later(arrival, MAX_DELAY_MILLIS) { handle(FailoverMessage.Surveyed(effect.group, effect.target, status), it) }
            }
            is FailoverEffect.Resume -> paused = paused - effect.target.value
            is FailoverEffect.Promote -> later(now, MAX_PROMOTION_MILLIS) {
                promoted = promoted ?: (received.getValue(effect.target.value) to acknowledged)
            }
            is FailoverEffect.Designate, is FailoverEffect.StopPrimary, is FailoverEffect.LogEvent -> Unit
        }
    }

    private fun answerOf(effect: FailoverEffect.SurveyHolder): InstanceStatus? {
        val name = effect.target.value
        if (random.nextDouble() < case.silentShare) return null
        if (random.nextDouble() < case.busyShare) {
            val applied = (received.getValue(name) - random.nextLong(2)).coerceAtLeast(0)
            return statusOf(name).copy(received = Position(Term(1), LogPosition(applied)), isComplete = false)
        }
        if (effect.pauseIn != null) paused = paused + name
        return statusOf(name)
    }

    private fun statusOf(name: String) = InstanceStatus(TargetRole.REPLICA, Position(Term(1), LogPosition(received.getValue(name))))

    private fun later(now: Long, maxMillis: Long, event: (Long) -> Unit) {
        events = events + (now + random.nextLong(1, maxMillis) to event)
    }

    private companion object {
        val group = GroupId("g")
        const val LEADER = "leader"
        const val END_MILLIS = 12_000L
        const val REVIEW_MILLIS = 100L
        const val MAX_DELAY_MILLIS = 60L
        const val MAX_PROMOTION_MILLIS = 700L
        const val DEAF_CHANGE = 300
        const val COMMIT_EVERY = 10

        fun record(name: String, role: TargetRole) = InstanceRecord(
            TargetId(name),
            group,
            "10.0.0.1:${name.last().code}",
            ZoneId("a"),
            role,
            isLeaving = false,
            startedWallMillis = 1,
            sequence = 1,
        )
    }
}
