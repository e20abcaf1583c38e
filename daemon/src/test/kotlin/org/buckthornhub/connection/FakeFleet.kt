package org.buckthornhub.connection

import com.github.michaelbull.result.Ok
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.Job
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import org.buckthornhub.clock.Clock
import org.buckthornhub.coordination.ClockReading
import org.buckthornhub.coordination.ProxyView
import org.buckthornhub.decisionlog.DecisionLog
import org.buckthornhub.directory.InstanceDirectory
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.PrimaryDesignation
import org.buckthornhub.horizon.CommitSample
import org.buckthornhub.horizon.CommitTimelineMessage
import org.buckthornhub.horizon.CommitTimelineTask
import org.buckthornhub.instancepool.PoolCommand
import org.buckthornhub.instancepool.PoolMessage
import org.buckthornhub.instancepool.PoolSettings
import org.buckthornhub.instancepool.PoolTask
import org.buckthornhub.instancepool.waiting.WaitingSettings
import org.buckthornhub.organisation.ApiKey
import org.buckthornhub.organisation.KeyDigest
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.quota.RateLimiterTask
import org.buckthornhub.routetable.DatabaseName
import org.buckthornhub.routetable.DatabaseRoute
import org.buckthornhub.routetable.GroupLimits
import org.buckthornhub.routetable.OrganisationAccess
import org.buckthornhub.routetable.ReadGuarantee
import org.buckthornhub.routetable.RouteTable
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole

/** The tasks of one daemon in virtual time, connected to the instances of the test. */
internal class FakeFleet(
    private val scope: TestScope,
    private val instances: List<FakeInstance>,
    isFenced: Boolean = true,
    waiting: WaitingSettings = WaitingSettings(),
) {
    private val clock = object : Clock {
        override fun nowMillis(): Long = scope.currentTime + START_MILLIS

        override fun wallMillis(): Long = nowMillis() + suspendedMillis
    }
    private var suspendedMillis = 0L

    /** Whether the daemon considers itself cut off from the control VMs and the primaries. */
    var isCutOff = false
    private val pool = PoolTask(
        PoolSettings(ZoneId("a")),
        { instance, organisation, _, _ -> Ok(FakeLink(instances.first { it.record.target == instance.target }, organisation)) },
        clock,
        waiting,
    )
    private val view = MutableStateFlow(ProxyView(table, confirmedAt(), directory = directory(), leasedAt = confirmedAt()))
    private val authority = if (isFenced) PrimaryAuthority.FENCED_BY_PLATFORM else LeasedPrimaryAuthority(view, clock)
    private val commitTimelines = CommitTimelineTask(pool, authority, clock)
    private val rateLimiter = RateLimiterTask({ _, _ -> null }, clock)
    private val environment =
        SessionEnvironment(
            SessionSettings(),
            view,
            pool,
            commitTimelines,
            authority,
            rateLimiter,
            Job(),
            { isCutOff },
            DecisionLog.NONE,
            clock,
        )

    fun start() {
        listOf(pool, commitTimelines, rateLimiter).forEach { it.start(scope.backgroundScope) }
        pool.offer(PoolCommand.Decide(PoolMessage.Limits(mapOf(GroupId("g") to 2))))
        pool.offer(PoolCommand.Decide(PoolMessage.Directory(instances.map { it.record })))
        probeAll()
        commitTimelines.offer(
            CommitTimelineMessage.PrimariesChanged(
                instances.filter { it.role == TargetRole.PRIMARY }.associate {
                    it.record.group to
                        it.record.target
                },
            ),
        )
    }

    private fun probeAll() = commitTimelines.offer(CommitTimelineMessage.ProbedGroups(setOf(GroupId("g"))))

    fun caller(): FakeCaller = FakeCaller().also { SessionTask(it, environment).start(scope.backgroundScope) }

    /** Replaces the route table, as an update from the control quorum does. */
    fun change(change: RouteTable.() -> RouteTable) {
        view.value = view.value.copy(table = view.value.table?.change())
    }

    /** Renews the control quorum's confirmation of the configuration. */
    fun confirmConfiguration() {
        view.value = view.value.copy(confirmedAt = confirmedAt())
    }

    /** Learns that the control quorum has designated the instance [name] as the primary. */
    fun designate(name: String) {
        val designation = PrimaryDesignation(TargetId(name), number = 1)
        view.value = view.value.copy(designations = view.value.designations.with(GroupId("g"), designation))
    }

    /** Suspends the VM: only the wall clock advances, the monotonic clock stands still. */
    fun suspend(millis: Long) {
        suspendedMillis += millis
    }

    /** Newest commit position that the daemon takes for the primary's. */
    fun newestSample(): CommitSample? {
        scope.testScheduler.runCurrent()
        return commitTimelines.current()[GroupId("g")]?.timeline?.newest
    }

    /** Returns the daemon's monotonic time. */
    fun nowMillis(): Long = clock.nowMillis()

    /** Lets the daemon notice a suspension, as each report does. */
    fun noticeSuspension() {
        commitTimelines.current()
    }

    private fun confirmedAt() = ClockReading(clock.nowMillis(), clock.wallMillis())

    private fun directory() = instances.fold(InstanceDirectory()) { directory, instance -> directory.with(instance.record) }

    companion object {
        /** Latency objective of every route, in ms. */
        const val OBJECTIVE_MILLIS = 400L
        private const val START_MILLIS = 10_000L

        private fun route(name: String, guarantee: ReadGuarantee) = DatabaseRoute(
            name,
            DatabaseName(name),
            GroupId("g"),
            guarantee,
            statementTimeoutMillis = 800,
            objectiveMillis = OBJECTIVE_MILLIS,
        )

        private val table = RouteTable(
            version = 1,
            routes = listOf(
                route("latest", ReadGuarantee.Latest),
                route("bounded", ReadGuarantee.BoundedAge(1_500)),
                route("own", ReadGuarantee.OwnWrites(2_500)),
            ).associateBy { it.database },
            groups = mapOf(GroupId("g") to GroupLimits(20)),
            organisations = persistentMapOf(
                OrganisationId("o") to OrganisationAccess(OrganisationId("o"), setOf(KeyDigest.of(ApiKey("key"))), 100.0, 100.0),
            ),
            transactionIdleMillis = 3_000,
        )
    }
}
