package org.buckthornhub.limit

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.buckthornhub.clock.Clock
import org.buckthornhub.control.ControlClient
import org.buckthornhub.fleet.DaemonEntry
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.fleet.VmId
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.organisation.Configuration
import org.buckthornhub.organisation.Grant
import org.buckthornhub.organisation.GrantList
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.organisation.PlanId
import org.buckthornhub.organisation.PlanList
import org.buckthornhub.peer.PeerAuthenticator

/** Limit tasks of four daemons in two zones; the first daemon is the control leader. */
internal class LimitFleet(private val clock: Clock) {
    // Shorter than the refill time of one token, so that a burst is admitted only from tokens already in the buckets.
    private val timing = LimitTiming(maxWaitMillis = 20)
    val grant = Grant(ratePerSecond = 10.0, burst = 20, groups = emptySet())
    val log = FakeControlLog()
    val links = LoopbackLinks()
    private val organisation = OrganisationId("authority")
    private val plan = PlanId("large")
    private var configuration =
        Configuration(1, PlanList(1, mapOf(organisation to plan)), GrantList(1, mapOf(plan to grant)))
    private val entries = (0..3).map { DaemonEntry(VmId("vm$it"), ZoneId("zone${it % 2}"), "10.0.0.$it:1", incarnation = 1) }
    private val view = FleetView(daemons = entries.associateBy { it.vm }.toPersistentMap(), targets = persistentMapOf())
    private val authority = PeerAuthenticator(SECRET)
    private val control =
        ControlClient { path, body, timeout -> links.open(entries.first().address).post(path, body, timeout, authority.headers()) }
    val assemblies: List<LimitAssembly> =
        entries.mapIndexed { index, entry ->
            val environment =
                LimitEnvironment(entry.vm, entry.zone, index.toLong(), timing, StateSource { configuration }, { view })
            LimitAssembly(environment, control, log.takeIf { index == 0 }, links, authority, clock)
        }

    fun start(scope: CoroutineScope) {
        links.routes = entries.mapIndexed { index, entry -> entry.address to assemblies[index].routes }.toMap()
        assemblies.forEach { it.start(scope) }
    }

    /** Sends [count] concurrent requests to the daemon of [vm] and returns how many were admitted. */
    suspend fun burst(vm: Int, count: Int): Int = coroutineScope {
        val deadlineMillis = clock.nowMillis() + 1_000
        List(count) { async { assemblies[vm].admission.admit(organisation, grant, deadlineMillis) } }.awaitAll().count { it.isOk }
    }

    /** Makes the control leader's VM unreachable from all other daemons. */
    fun isolateLeader() {
        links.unreachable = setOf(entries.first().address)
    }

    fun changeGrant(changed: Grant) {
        configuration = configuration.copy(revision = 2, grants = GrantList(2, mapOf(plan to changed)))
    }

    private companion object {
        const val SECRET = "secret-of-the-tests"
    }
}
