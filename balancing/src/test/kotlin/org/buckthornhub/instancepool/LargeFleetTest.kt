package org.buckthornhub.instancepool

import org.buckthornhub.connection.TargetConnectionState
import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Replays the load of a large fleet on one instance: arrivals of 90 organisations at random daemons, 18 ms of work each. */
internal class LargeFleetTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `the connections of a large fleet stay within those that the instance accepts`(case: LargeFleetCase) {
        for (seed in 1..SEEDS) {
            val most = mostOpen(case, Random(seed))
            val isExpected = if (case.maxOpen == null) most > LIMIT else most <= case.maxOpen
            assertTrue(isExpected, "seed $seed: $most connections")
        }
    }

    private fun mostOpen(case: LargeFleetCase, random: Random): Int {
        val shortLived = if (case.isShortLived) setOf(group) else emptySet()
        val open = if (case.isShortLived) ConnectionShare.of(LIMIT, 0, case.daemons) else 1
        val limits = PoolMessage.Limits(mapOf(group to open), shortLived)
        val states = Array(case.daemons) {
            val messages = listOf(PoolMessage.Directory(listOf(primary)), limits)
            messages.fold(PoolState()) { state, message -> decider.decide(state, message, 0).state }
        }
        val events = PriorityQueue<Event>(compareBy { it.atMillis })
        var atMillis = 0.0
        var ticket = 0L
        while (atMillis < SECONDS * 1_000) {
            atMillis += -ln(random.nextDouble()) / case.perSecond * 1_000
            val request = ConnectionRequest(group, OrganisationId("o${random.nextInt(ORGANISATIONS)}"), ConnectionRequirement.Primary)
            val waiting = PendingConnectionRequest(++ticket, request, atMillis.toLong(), atMillis.toLong() + WAIT_MILLIS)
            events.add(Event(atMillis.toLong(), random.nextInt(case.daemons), PoolMessage.Acquire(waiting)))
        }
        for (now in 0L..SECONDS * 1_000L step TICK_MILLIS) {
            states.indices.forEach { events.add(Event(now, it, PoolMessage.Tick)) }
        }
        var most = 0
        var served = 0
        while (true) {
            val event = events.poll() ?: break
            val decision = decider.decide(states[event.daemon], event.message, event.atMillis)
            states[event.daemon] = decision.state
            for (effect in decision.effects) {
                if (effect is PoolEffect.CheckOut) served += 1
                events.add(Event(event.atMillis + delayOf(effect), event.daemon, followUp(effect) ?: continue))
            }
            most = maxOf(most, states.sumOf { it.instances.values.sumOf { instance -> instance.size } })
        }
        assertEquals(ticket, served.toLong(), "every statement is served")
        return most
    }

    private fun followUp(effect: PoolEffect): PoolMessage? = when (effect) {
        is PoolEffect.Open -> PoolMessage.Opened(effect.connection, effect.instance.target, null)
        is PoolEffect.CheckOut -> PoolMessage.Released(
            effect.connection.id,
            effect.instance.target,
            TargetConnectionState(effect.connection.state.organisation),
            null,
        )
        else -> null
    }

    private fun delayOf(effect: PoolEffect) = if (effect is PoolEffect.Open) CONNECT_MILLIS else WORK_MILLIS

    private class Event(
        val atMillis: Long,
        val daemon: Int,
        val message: PoolMessage,
    )

    private companion object {
        private const val SEEDS = 3
        private const val SECONDS = 10
        private const val LIMIT = 66
        private const val ORGANISATIONS = 90
        private const val CONNECT_MILLIS = 14L
        private const val WORK_MILLIS = 18L
        private const val WAIT_MILLIS = 1_000L
        private const val TICK_MILLIS = 50L
        private val group = GroupId("g")
        private val primary =
            InstanceRecord(TargetId("primary"), group, "10.0.0.1:1", ZoneId("a"), TargetRole.PRIMARY, isLeaving = false, 1, 1)
        private val decider = PoolDecider(PoolSettings(ZoneId("a")))

        @JvmStatic
        fun cases(): List<LargeFleetCase> = listOf(
            LargeFleetCase(
                "baseline: each daemon keeps a connection",
                daemons = 94,
                perSecond = 14.0,
                isShortLived = false,
                maxOpen = null,
            ),
            LargeFleetCase("usual load", daemons = 94, perSecond = 14.0, isShortLived = true, maxOpen = LIMIT),
            LargeFleetCase("a burst", daemons = 94, perSecond = 60.0, isShortLived = true, maxOpen = LIMIT),
            LargeFleetCase("a larger fleet", daemons = 300, perSecond = 14.0, isShortLived = true, maxOpen = LIMIT),
        )
    }
}
