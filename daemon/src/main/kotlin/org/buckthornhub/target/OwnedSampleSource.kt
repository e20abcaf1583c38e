package org.buckthornhub.target

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.buckthornhub.clock.Clock
import org.buckthornhub.control.ReplicatedView
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.fleet.VmId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Position
import org.buckthornhub.peer.PeerGateway
import org.buckthornhub.peer.SampleBody
import org.buckthornhub.routing.PositionSample
import org.buckthornhub.target.owner.OwnerLocator

/** Fetches samples from the owner of the primary, in this daemon or in another one. */
internal class OwnedSampleSource(
    private val self: VmId,
    private val clock: Clock,
    private val view: StateSource<FleetView>,
    private val replicated: StateSource<ReplicatedView>,
    private val locator: OwnerLocator,
    private val local: GatewayTask,
    private val peers: PeerGateway,
) : SampleSource {
    override suspend fun samplesOf(group: GroupId, after: Position?): PersistentList<PositionSample> {
        val askedMillis = clock.nowMillis()
        val primary = primaryOf(group) ?: return noSamples
        val body = SampleBody(primary.target, after)
        val owner = locator.ownerOf(primary) ?: return noSamples
        val ages = if (owner == self) local.samples(body) else peers.samples(owner, body)
        return ages.samples.map { it.toSample(askedMillis) }.toPersistentList()
    }

    private fun primaryOf(group: GroupId): TargetEntry? {
        val targets = view.current().targetsOf(group)
        val committed = replicated.current().state.leaderships[group]
        if (committed != null) return targets.firstOrNull { it.target == committed.primary }
        return targets.filter { it.role == TargetRole.PRIMARY }.maxByOrNull { it.term }
    }

    private companion object {
        val noSamples = emptyList<PositionSample>().toPersistentList()
    }
}
