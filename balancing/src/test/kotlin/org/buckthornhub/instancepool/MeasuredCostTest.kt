package org.buckthornhub.instancepool

import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Position
import org.buckthornhub.group.Term
import org.buckthornhub.instancepool.load.LeavingShare
import org.buckthornhub.instancepool.load.OutlierState
import org.buckthornhub.instancepool.load.StatementOutcome
import org.buckthornhub.instancepool.load.StatementSample
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against placement by load that ignores what a read requires, or refuses what an ejected instance could serve. */
internal class MeasuredCostTest {
    private val decider = PoolDecider(PoolSettings(ZoneId("a"), adaptsToLoad = true))

    @ParameterizedTest
    @MethodSource("placements")
    fun `load decides only among the instances that may serve`(case: PlacementCase) {
        val known = decider.decide(PoolState(limits = persistentMapOf(group to 2)), PoolMessage.Directory(case.records), 0).state
        val asked = PoolMessage.Acquire(PendingConnectionRequest(1, case.request, sinceMillis = 5_000, deadlineMillis = 5_100))
        val opened = decider.decide(case.prepare(known), asked, 5_000).effects.filterIsInstance<PoolEffect.Open>().singleOrNull()
        assertEquals(case.opened, opened?.instance?.target?.value)
    }

    @ParameterizedTest(name = "the share {0} leaves")
    @CsvSource("0.0", "0.1", "0.5", "0.9")
    fun `the share of reads that leaves is that of the decision`(share: Double) {
        val known = decider.decide(PoolState(limits = persistentMapOf(group to 2)), PoolMessage.Directory(listOf(near, far)), 0).state
        val state = leaving(share)(known)
        val left = (1L..2_000L).count { ticket ->
            val asked = PoolMessage.Acquire(PendingConnectionRequest(ticket, read, sinceMillis = 0, deadlineMillis = 100))
            decider.decide(state, asked, 0).effects.filterIsInstance<PoolEffect.Open>().single().instance == far
        }
        assertEquals(share, left / 2_000.0, absoluteTolerance = 0.03)
    }

    @Test
    fun `a served statement shortens the pause after refused connections`() {
        val known = decider.decide(PoolState(), PoolMessage.Directory(listOf(near, far)), 0).state
        val paused = known.update(near.target) {
            copy(failures = 4, retryAtMillis = 2_000, inUse = inUse.put(ConnectionId(1), organisation))
        }
        val samples = listOf(StatementSample(priority = 1, millis = 20, StatementOutcome.SERVED))
        val served = PoolMessage.Released(ConnectionId(1), near.target, null, null, samples = samples)
        assertEquals(600, decider.decide(paused, served, 500).state.instances.getValue(near.target).retryAtMillis)
    }

    private companion object {
        private val group = GroupId("g")
        private val organisation = OrganisationId("o")
        private val near = record("near", "a", TargetRole.REPLICA)
        private val far = record("far", "b", TargetRole.REPLICA)
        private val primary = record("primary", "c", TargetRole.PRIMARY)
        private val read = ConnectionRequest(group, organisation, ConnectionRequirement.AtLeast(position(5)))

        private fun record(name: String, zone: String, role: TargetRole) =
            InstanceRecord(TargetId(name), group, "10.0.0.1:1", ZoneId(zone), role, isLeaving = false, startedWallMillis = 1, sequence = 1)

        private fun position(index: Long) = Position(Term(1), LogPosition(index))

        private fun leaving(share: Double): (PoolState) -> PoolState =
            { state -> state.copy(load = state.load.copy(shares = persistentMapOf(group to LeavingShare(share)))) }

        private fun ejected(vararg names: String): (PoolState) -> PoolState = { state ->
            names.fold(state) { next, name ->
                next.update(TargetId(name)) { copy(load = load.copy(outlier = OutlierState(ejections = 1, ejectedUntilMillis = 9_000))) }
            }
        }

        @JvmStatic
        fun placements(): List<PlacementCase> = listOf(
            PlacementCase("the own zone", listOf(near, far, primary), read, "near"),
            PlacementCase("all reads leave", listOf(near, far), read, "far", leaving(1.0)),
            PlacementCase("all reads leave, but the other zone is behind", listOf(near, far), read, "near") { state ->
                leaving(1.0)(state).update(far.target) { copy(applied = position(4), lastAnswerMillis = 4_999) }
            },
            PlacementCase("the own zone is behind", listOf(near, far), read, "far") { state ->
                state.update(near.target) { copy(applied = position(4), lastAnswerMillis = 4_999) }
            },
            PlacementCase("an ejected instance is skipped", listOf(near, far), read, "far", ejected("near")),
            PlacementCase("all instances are ejected", listOf(near, far), read, "near", ejected("near", "far")),
            PlacementCase("an ejected instance is the only one", listOf(near), read, "near", ejected("near")),
            PlacementCase(
                "an ejected primary still serves what only it can",
                listOf(near, primary),
                read.copy(requirement = ConnectionRequirement.Primary),
                "primary",
                ejected("primary"),
            ),
        )
    }
}
