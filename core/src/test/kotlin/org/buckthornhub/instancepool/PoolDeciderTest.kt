package org.buckthornhub.instancepool

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.connection.TargetConnectionState
import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Position
import org.buckthornhub.group.Term
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.MethodSource
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

internal class PoolDeciderTest {
    private val decider = PoolDecider(settings)

    @ParameterizedTest
    @MethodSource("placements")
    fun `a connection is opened where the statement is served soonest`(case: PlacementCase) {
        val known = decider.decide(PoolState(limits = persistentMapOf(group to 2)), PoolMessage.Directory(case.records), 0).state
        val asked = PoolMessage.Acquire(WaitingWant(1, case.want, sinceMillis = 0, deadlineMillis = 100))
        val opened = decider.decide(case.prepare(known), asked, 0).effects.filterIsInstance<PoolEffect.Open>().singleOrNull()
        assertEquals(case.opened, opened?.instance?.target?.value)
    }

    @ParameterizedTest
    @CsvSource("100, 1", "400, 2")
    fun `one unanswered statement ends the other connections only if nothing was heard meanwhile`(silentMillis: Long, closed: Int) {
        val idle = PoolConnection(ConnectionId(1), leader.target, TargetConnectionState(organisation))
        val instance =
            PoolInstance(leader, persistentListOf(idle), lent = persistentMapOf(ConnectionId(2) to organisation), appliedAtMillis = 1_000)
        val state = PoolState(persistentMapOf(leader.target to instance), persistentMapOf(group to 2))
        val silent = PoolMessage.Returned(ConnectionId(2), leader.target, null, null, isSilent = true)
        val decision = decider.decide(state, silent, 1_000 + silentMillis)
        assertEquals(closed, decision.effects.filterIsInstance<PoolEffect.Close>().size)
        assertEquals(2 - closed, decision.state.instances.getValue(leader.target).size)
    }

    @Test
    fun `who waits too long is told so, and whether anybody leads`() {
        val want = ConnectionWant(group, organisation, ConnectionNeed.Leader)
        val waiting = decider.decide(PoolState(), PoolMessage.Acquire(WaitingWant(1, want, sinceMillis = 0, deadlineMillis = 100)), 0).state
        assertEquals(emptyList(), decider.decide(waiting, PoolMessage.Tick, 99).effects.toList())
        val late = decider.decide(waiting, PoolMessage.Tick, 100)
        assertEquals(listOf(PoolEffect.Refuse(1, isLeaderless = true)), late.effects.toList())
        assertTrue(late.state.waiting.isEmpty())
    }

    @Test
    fun `a connection of another organisation makes room, and is never lent across organisations`() {
        val known = decider.decide(PoolState(limits = persistentMapOf(group to 1)), PoolMessage.Directory(listOf(leader)), 0).state
        val first = acquire(known, 1, organisation)
        val opened = assertIs<PoolEffect.Open>(first.second.single())
        val lent = decider.decide(first.first, PoolMessage.Opened(opened.connection, leader.target, null), 1)
        val connection = assertIs<PoolEffect.Lend>(lent.effects.single()).connection
        val idle = decider.decide(lent.state, PoolMessage.Returned(connection.id, leader.target, connection.state, null), 2).state
        val other = acquire(idle, 2, OrganisationId("other")).second
        assertEquals(PoolEffect.Close(connection.id), other.first())
        assertEquals(OrganisationId("other"), assertIs<PoolEffect.Open>(other.last()).organisation)
    }

    @Test
    fun `a connection that comes back goes to its own organisation before it makes room for another`() {
        val other = OrganisationId("other")
        val lent = PoolInstance(leader, lent = persistentMapOf(ConnectionId(1) to organisation))
        val busy = PoolState(persistentMapOf(leader.target to lent), persistentMapOf(group to 1), nextConnection = 2)
        val waiting = acquire(acquire(busy, 1, other).first, 2, organisation).first
        val back = PoolMessage.Returned(ConnectionId(1), leader.target, TargetConnectionState(organisation), null)
        val decision = decider.decide(waiting, back, 1)
        assertEquals(2, assertIs<PoolEffect.Lend>(decision.effects.single()).token)
        val again = decider.decide(decision.state, back, 2).effects
        assertEquals(other, assertIs<PoolEffect.Open>(again.last()).organisation)
    }

    @ParameterizedTest
    @CsvSource("0, false", "9, false", "10, true")
    fun `room is made only for who has waited while a connection of the same organisation was in use`(waited: Long, isOpened: Boolean) {
        val idle = PoolConnection(ConnectionId(1), leader.target, TargetConnectionState(OrganisationId("other")))
        val instance = PoolInstance(leader, persistentListOf(idle), lent = persistentMapOf(ConnectionId(2) to organisation))
        val state = PoolState(persistentMapOf(leader.target to instance), persistentMapOf(group to 2), nextConnection = 3)
        val waiting = acquire(state, 1, organisation).first
        val effects = decider.decide(waiting, PoolMessage.Tick, waited).effects
        assertEquals(isOpened, effects.any { it is PoolEffect.Open })
    }

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10])
    fun `no limit is passed, no connection is lent twice, and every want gets one answer`(seed: Int) {
        val random = Random(seed)
        val records = listOf(leader, near, far)
        var state = decider.decide(PoolState(limits = persistentMapOf(group to LIMIT)), PoolMessage.Directory(records), 0).state
        var opening = listOf<PoolEffect.Open>()
        var lent = listOf<PoolConnection>()
        var answered = listOf<Long>()
        var asked = 0L
        fun take(message: PoolMessage, now: Long) {
            val decision = decider.decide(state, message, now)
            state = decision.state
            for (effect in decision.effects) {
                when (effect) {
                    is PoolEffect.Open -> opening = opening + effect
                    is PoolEffect.Close -> assertTrue(lent.none { it.id == effect.connection }, "a lent connection was closed")
                    is PoolEffect.Refuse -> answered = answered + effect.token
                    is PoolEffect.Lend -> {
                        assertTrue(lent.none { it.id == effect.connection.id }, "lent twice")
                        answered = answered + effect.token
                        lent = lent + effect.connection
                    }
                }
            }
            assertTrue(state.instances.values.all { it.size <= LIMIT }, "over the limit")
        }
        for (now in 0L..4_000L step 4) {
            when (random.nextInt(6)) {
                0, 1 -> take(PoolMessage.Acquire(WaitingWant(++asked, randomWant(random), now, now + random.nextLong(1, 80))), now)
                2 -> opening.randomOrNull(random)?.let { open ->
                    opening = opening - open
                    val isOpened = random.nextInt(5) > 0
                    val target = open.instance.target
                    take(
                        if (isOpened) {
                            PoolMessage.Opened(
                                open.connection,
                                target,
                                null,
                            )
                        } else {
                            PoolMessage.OpenFailed(open.connection, target)
                        },
                        now,
                    )
                }
                3, 4 -> lent.randomOrNull(random)?.let { connection ->
                    lent = lent - connection
                    take(
                        PoolMessage.Returned(
                            connection.id,
                            connection.target,
                            connection.state.takeIf {
                                random.nextInt(4) > 0
                            },
                            null,
                        ),
                        now,
                    )
                }
                else -> take(PoolMessage.Tick, now)
            }
        }
        take(PoolMessage.Tick, 10_000)
        assertEquals((1..asked).toList(), answered.sorted())
    }

    private fun acquire(state: PoolState, token: Long, organisation: OrganisationId): Pair<PoolState, List<PoolEffect>> {
        val want = ConnectionWant(group, organisation, ConnectionNeed.Leader)
        val decision = decider.decide(state, PoolMessage.Acquire(WaitingWant(token, want, sinceMillis = 0, deadlineMillis = 100)), 0)
        return decision.state to decision.effects
    }

    private fun randomWant(random: Random) = ConnectionWant(
        group,
        listOf(organisation, OrganisationId("other"), null).random(random),
        if (random.nextBoolean()) ConnectionNeed.Leader else ConnectionNeed.AtLeast(position(5)),
        priority = random.nextInt(3),
    )

    private companion object {
        private const val LIMIT = 2
        private val group = GroupId("g")
        private val organisation = OrganisationId("o")
        private val settings = PoolSettings(ZoneId("a"))
        private val leader = record("leader", "b", TargetRole.PRIMARY)
        private val near = record("near", "a", TargetRole.REPLICA)
        private val far = record("far", "c", TargetRole.REPLICA)
        private val atFive = ConnectionNeed.AtLeast(position(5))

        private fun record(name: String, zone: String, role: TargetRole) =
            InstanceRecord(TargetId(name), group, "10.0.0.1:1", ZoneId(zone), role, isLeaving = false, bornMillis = 1, sequence = 1)

        private fun position(index: Long) = Position(Term(1), LogPosition(index))

        private fun applied(name: String, index: Long): (PoolState) -> PoolState =
            { state -> state.update(TargetId(name)) { copy(applied = position(index)) } }

        private fun want(need: ConnectionNeed, excluded: Set<TargetId> = emptySet()) =
            ConnectionWant(group, organisation, need, excluded = excluded)

        @JvmStatic
        fun placements(): List<PlacementCase> = listOf(
            PlacementCase("only a leader will do", listOf(leader, near, far), want(ConnectionNeed.Leader), "leader"),
            PlacementCase("no leader", listOf(near, far), want(ConnectionNeed.Leader), opened = null),
            PlacementCase("a replica nearby", listOf(leader, near, far), want(atFive), "near"),
            PlacementCase("not one that is behind", listOf(leader, near, far), want(atFive), "far", applied("near", 4)),
            PlacementCase("one that holds just enough", listOf(leader, near, far), want(atFive), "near", applied("near", 5)),
            PlacementCase("not one that was tried", listOf(leader, near, far), want(atFive, setOf(near.target)), "far"),
            PlacementCase("the leader if nobody else will do", listOf(leader, near), want(atFive), "leader", applied("near", 4)),
            PlacementCase("not a replica that leaves", listOf(leader, near.copy(isLeaving = true)), want(atFive), "leader"),
            PlacementCase(
                "a leader that leaves, for a while",
                listOf(leader.copy(isLeaving = true)),
                want(ConnectionNeed.Leader),
                "leader",
            ),
            PlacementCase(
                "not a leader that refused to lead",
                listOf(leader, near),
                want(ConnectionNeed.Leader),
                opened = null,
                prepare = { state -> state.update(leader.target) { copy(isDemoted = true) } },
            ),
            PlacementCase("not an instance of another group", listOf(leader.copy(group = GroupId("x"))), want(atFive), opened = null),
        )
    }
}
