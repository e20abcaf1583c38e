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
import org.buckthornhub.instancepool.waiting.WaitingSettings
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.test.fail

internal class PoolDeciderTest {
    private val decider = PoolDecider(settings)

    @ParameterizedTest
    @MethodSource("placements")
    fun `a connection is opened to the instance with the lowest estimated wait`(case: PlacementCase) {
        val known = decider.decide(PoolState(limits = persistentMapOf(group to 2)), PoolMessage.Directory(case.records), 0).state
        val asked = PoolMessage.Acquire(PendingConnectionRequest(1, case.request, sinceMillis = 0, deadlineMillis = 100))
        val opened = decider.decide(case.prepare(known), asked, 0).effects.filterIsInstance<PoolEffect.Open>().singleOrNull()
        assertEquals(case.opened, opened?.instance?.target?.value)
    }

    @ParameterizedTest
    @CsvSource("100, 1", "400, 2")
    fun `an unanswered statement closes the other connections only if none was answered recently`(silentMillis: Long, closed: Int) {
        val idle = PoolConnection(ConnectionId(1), primary.target, TargetConnectionState(organisation))
        val instance =
            PoolInstance(
                primary,
                persistentListOf(idle),
                inUse = persistentMapOf(ConnectionId(2) to organisation),
                lastAnswerMillis = 1_000,
            )
        val state = PoolState(persistentMapOf(primary.target to instance), persistentMapOf(group to 2))
        val silent = PoolMessage.Released(ConnectionId(2), primary.target, null, null, isSilent = true)
        val decision = decider.decide(state, silent, 1_000 + silentMillis)
        assertEquals(closed, decision.effects.filterIsInstance<PoolEffect.Close>().size)
        assertEquals(2 - closed, decision.state.instances.getValue(primary.target).size)
    }

    @Test
    fun `a request that waits too long is refused and states whether a primary is known`() {
        val request = ConnectionRequest(group, organisation, ConnectionRequirement.Primary)
        val waiting = decider.decide(
            PoolState(),
            PoolMessage.Acquire(PendingConnectionRequest(1, request, sinceMillis = 0, deadlineMillis = 100)),
            0,
        ).state
        assertEquals(emptyList(), decider.decide(waiting, PoolMessage.Tick, 99).effects.toList())
        val late = decider.decide(waiting, PoolMessage.Tick, 100)
        assertEquals(listOf(PoolEffect.Refuse(1, hasNoPrimary = true)), late.effects.toList())
        assertTrue(late.state.waiting.isEmpty())
    }

    @ParameterizedTest
    @MethodSource("hopelessCases")
    fun `a request that no instance can serve in time is refused at once`(case: HopelessCase) {
        val records = PoolMessage.Directory(listOf(primary, near))
        val known = decider.decide(PoolState(limits = persistentMapOf(group to 1)), records, 0).state
        val request = ConnectionRequest(group, organisation, case.requirement)
        val asked = PoolMessage.Acquire(PendingConnectionRequest(1, request, sinceMillis = 1_000, deadlineMillis = 1_090))
        val effects = decider.decide(case.prepare(known), asked, 1_000).effects
        assertEquals(case.isRefused, effects.any { it is PoolEffect.Refuse })
    }

    @Test
    fun `a connection of another organisation is closed to make room and never checked out across organisations`() {
        val known = decider.decide(PoolState(limits = persistentMapOf(group to 1)), PoolMessage.Directory(listOf(primary)), 0).state
        val first = acquire(known, 1, organisation)
        val opened = assertIs<PoolEffect.Open>(first.second.single())
        val checkedOut = decider.decide(first.first, PoolMessage.Opened(opened.connection, primary.target, null), 1)
        val connection = assertIs<PoolEffect.CheckOut>(checkedOut.effects.single()).connection
        val idle = decider.decide(checkedOut.state, PoolMessage.Released(connection.id, primary.target, connection.state, null), 2).state
        val other = acquire(idle, 2, OrganisationId("other")).second
        assertEquals(PoolEffect.Close(connection.id), other.first())
        assertEquals(OrganisationId("other"), assertIs<PoolEffect.Open>(other.last()).organisation)
    }

    @Test
    fun `a released connection serves its own organisation before it is closed for another`() {
        val other = OrganisationId("other")
        val instance = PoolInstance(primary, inUse = persistentMapOf(ConnectionId(1) to organisation))
        val busy = PoolState(persistentMapOf(primary.target to instance), persistentMapOf(group to 1), nextConnection = 2)
        val waiting = acquire(acquire(busy, 1, other).first, 2, organisation).first
        val back = PoolMessage.Released(ConnectionId(1), primary.target, TargetConnectionState(organisation), null)
        val decision = decider.decide(waiting, back, 1)
        assertEquals(2, assertIs<PoolEffect.CheckOut>(decision.effects.single()).ticket)
        val again = decider.decide(decision.state, back, 2).effects
        assertEquals(other, assertIs<PoolEffect.Open>(again.last()).organisation)
    }

    @ParameterizedTest
    @CsvSource("0, false", "9, false", "10, true")
    fun `room is made only after a wait while a connection of the same organisation is in use`(waited: Long, isOpened: Boolean) {
        val idle = PoolConnection(ConnectionId(1), primary.target, TargetConnectionState(OrganisationId("other")))
        val instance = PoolInstance(primary, persistentListOf(idle), inUse = persistentMapOf(ConnectionId(2) to organisation))
        val state = PoolState(persistentMapOf(primary.target to instance), persistentMapOf(group to 2), nextConnection = 3)
        val waiting = acquire(state, 1, organisation).first
        val effects = decider.decide(waiting, PoolMessage.Tick, waited).effects
        assertEquals(isOpened, effects.any { it is PoolEffect.Open })
    }

    @ParameterizedTest
    @MethodSource("schedules")
    fun `no limit is exceeded, no connection is checked out twice, and every request gets one answer`(
        seed: Int,
        waitingSettings: WaitingSettings,
    ) {
        val decider = PoolDecider(settings, waitingSettings)
        val random = Random(seed)
        val records = listOf(primary, near, far)
        var state = decider.decide(PoolState(limits = persistentMapOf(group to LIMIT)), PoolMessage.Directory(records), 0).state
        var opening = listOf<PoolEffect.Open>()
        var inUse = listOf<PoolConnection>()
        var answered = listOf<Long>()
        var asked = 0L
        fun take(message: PoolMessage, now: Long) {
            val decision = decider.decide(state, message, now)
            state = decision.state
            for (effect in decision.effects) {
                when (effect) {
                    is PoolEffect.Open -> opening = opening + effect
                    is PoolEffect.Close -> assertTrue(inUse.none { it.id == effect.connection }, "a connection in use was closed")
                    is PoolEffect.Refuse -> answered = answered + effect.ticket
                    is PoolEffect.Return -> fail("no time of return was asked for")
                    is PoolEffect.CheckOut -> {
                        assertTrue(inUse.none { it.id == effect.connection.id }, "a connection was checked out twice")
                        answered = answered + effect.ticket
                        inUse = inUse + effect.connection
                    }
                }
            }
            assertTrue(state.instances.values.all { it.size <= LIMIT }, "the connection limit is exceeded")
        }
        for (now in 0L..4_000L step 4) {
            when (random.nextInt(6)) {
                0, 1 -> take(
                    PoolMessage.Acquire(
                        PendingConnectionRequest(++asked, randomRequest(random), now, now + random.nextLong(1, 80), random.nextBoolean()),
                    ),
                    now,
                )
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
                3, 4 -> inUse.randomOrNull(random)?.let { connection ->
                    inUse = inUse - connection
                    take(
                        PoolMessage.Released(
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

    private fun acquire(state: PoolState, ticket: Long, organisation: OrganisationId): Pair<PoolState, List<PoolEffect>> {
        val request = ConnectionRequest(group, organisation, ConnectionRequirement.Primary)
        val decision = decider.decide(
            state,
            PoolMessage.Acquire(PendingConnectionRequest(ticket, request, sinceMillis = 0, deadlineMillis = 100)),
            0,
        )
        return decision.state to decision.effects
    }

    private fun randomRequest(random: Random) = ConnectionRequest(
        group,
        listOf(organisation, OrganisationId("other"), null).random(random),
        if (random.nextBoolean()) ConnectionRequirement.Primary else ConnectionRequirement.AtLeast(position(5)),
        priority = random.nextInt(3),
    )

    private companion object {
        private const val LIMIT = 2
        private val group = GroupId("g")
        private val organisation = OrganisationId("o")
        private val settings = PoolSettings(ZoneId("a"))
        private val primary = record("primary", "b", TargetRole.PRIMARY)
        private val near = record("near", "a", TargetRole.REPLICA)
        private val far = record("far", "c", TargetRole.REPLICA)
        private val atFive = ConnectionRequirement.AtLeast(position(5))

        private fun record(name: String, zone: String, role: TargetRole) =
            InstanceRecord(TargetId(name), group, "10.0.0.1:1", ZoneId(zone), role, isLeaving = false, startedWallMillis = 1, sequence = 1)

        private fun position(index: Long) = Position(Term(1), LogPosition(index))

        private fun applied(name: String, index: Long): (PoolState) -> PoolState =
            { state -> state.update(TargetId(name)) { copy(applied = position(index)) } }

        private fun request(requirement: ConnectionRequirement, excluded: Set<TargetId> = emptySet()) =
            ConnectionRequest(group, organisation, requirement, excluded = excluded)

        private fun unreachable(name: String, untilMillis: Long): (PoolState) -> PoolState =
            { state -> state.update(TargetId(name)) { copy(failures = 3, retryAtMillis = untilMillis) } }

        @JvmStatic
        fun schedules(): List<Arguments> = (1..10).flatMap { seed ->
            listOf(WaitingSettings(), WaitingSettings.ADAPTIVE, WaitingSettings.ADAPTIVE.copy(maxWaiting = 3)).map {
                Arguments.of(seed, it)
            }
        }

        @JvmStatic
        fun hopelessCases(): List<HopelessCase> = listOf(
            HopelessCase("the primary can be reached", ConnectionRequirement.Primary, { it }, isRefused = false),
            HopelessCase("it can't be tried in time", ConnectionRequirement.Primary, unreachable("primary", 1_200), isRefused = true),
            HopelessCase("it can be tried in time", ConnectionRequirement.Primary, unreachable("primary", 1_050), isRefused = false),
            HopelessCase(
                "it can't be tried, but a connection is in use",
                ConnectionRequirement.Primary,
                { state ->
                    unreachable("primary", 1_200)(state).update(primary.target) { copy(inUse = inUse.put(ConnectionId(9), organisation)) }
                },
                isRefused = false,
            ),
            HopelessCase(
                "it has just refused its role, so that its successor may announce itself",
                ConnectionRequirement.Primary,
                { state -> state.update(primary.target) { copy(isDemoted = true) } },
                isRefused = false,
            ),
            HopelessCase(
                "it refused its role and has become a replica",
                ConnectionRequirement.Primary,
                { state -> state.update(primary.target) { copy(isDemoted = true, record = record.copy(role = TargetRole.REPLICA)) } },
                isRefused = true,
            ),
            HopelessCase(
                "no primary is known",
                ConnectionRequirement.Primary,
                { state -> state.copy(instances = state.instances.remove(primary.target)) },
                isRefused = true,
            ),
            HopelessCase("a read that a replica serves", atFive, unreachable("primary", 1_200), isRefused = false),
            HopelessCase(
                "a read that no instance can serve in time",
                atFive,
                { state -> listOf("primary", "near").fold(state) { changed, name -> unreachable(name, 1_200)(changed) } },
                isRefused = true,
            ),
        )

        @JvmStatic
        fun placements(): List<PlacementCase> = listOf(
            PlacementCase("only the primary qualifies", listOf(primary, near, far), request(ConnectionRequirement.Primary), "primary"),
            PlacementCase("no primary is known", listOf(near, far), request(ConnectionRequirement.Primary), opened = null),
            PlacementCase("a replica in the same zone", listOf(primary, near, far), request(atFive), "near"),
            PlacementCase("a replica that is behind is skipped", listOf(primary, near, far), request(atFive), "far", applied("near", 4)),
            PlacementCase("a replica exactly at the position", listOf(primary, near, far), request(atFive), "near", applied("near", 5)),
            PlacementCase("an already tried instance is skipped", listOf(primary, near, far), request(atFive, setOf(near.target)), "far"),
            PlacementCase("the primary if no replica qualifies", listOf(primary, near), request(atFive), "primary", applied("near", 4)),
            PlacementCase("a leaving replica is skipped", listOf(primary, near.copy(isLeaving = true)), request(atFive), "primary"),
            PlacementCase(
                "a leaving primary is still used for a while",
                listOf(primary.copy(isLeaving = true)),
                request(ConnectionRequirement.Primary),
                "primary",
            ),
            PlacementCase(
                "a primary that refused to act as primary is skipped",
                listOf(primary, near),
                request(ConnectionRequirement.Primary),
                opened = null,
                prepare = { state -> state.update(primary.target) { copy(isDemoted = true) } },
            ),
            PlacementCase("another group is skipped", listOf(primary.copy(group = GroupId("x"))), request(atFive), opened = null),
        )
    }
}
