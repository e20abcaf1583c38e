package org.buckthornhub.coordination

import org.buckthornhub.control.Evacuations
import org.buckthornhub.fleet.VmId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.PrimaryDesignations
import org.buckthornhub.horizon.CommitSample
import org.buckthornhub.horizon.LeaderClock
import org.buckthornhub.routetable.RouteTable

/** Merges replies of control VMs into the view of a daemon. */
internal object ProxyViewUpdater {
    fun update(view: ProxyView, from: VmId, sentAt: ClockReading, receivedAt: ClockReading, reply: ProxyReportAnswer): ProxyView {
        val known = view.table
        val table = reply.table?.takeIf { known == null || it.version > known.version } ?: known
        val evacuations = newest(view.evacuations, reply.evacuations)
        val confirmedAt = confirmedAt(sentAt, receivedAt, reply).takeIf { isNewest(reply, table, evacuations) }
        val instances = reply.instances
        val leaderClock = leaderClock(sentAt, receivedAt, reply)
        return view.copy(
            table = table,
            confirmedAt = listOfNotNull(view.confirmedAt?.takeIf { it.isPast(receivedAt) }, confirmedAt).maxByOrNull { it.monotonicMillis },
            controlVms = controlVms(view, from, reply),
            controlTerm = if (instances != null) reply.controlTerm else view.controlTerm,
            directoryRevision = if (instances != null) reply.directoryRevision else view.directoryRevision,
            directory = if (instances != null) view.directory.merged(instances, reply.ended) else view.directory,
            shares = reply.shares ?: view.shares,
            isFleetKnown = view.isFleetKnown || reply.shares != null,
            proxies = if (reply.shares != null) reply.proxies else view.proxies,
            rank = if (reply.shares != null) reply.rank else view.rank,
            designations = newest(view.designations, reply.designations),
            leasedAt = leasedAt(view, sentAt, receivedAt, reply),
            leaderClock = leaderClock ?: view.leaderClock,
            positions = if (leaderClock == null) view.positions else samples(leaderClock, reply),
            evacuations = evacuations,
            evacuatedSince = evacuations.zones.associateWith { view.evacuatedSince[it] ?: earliestOrder(view, receivedAt) },
        )
    }

    // A source with an older table or older evacuations confirms nothing.
    private fun isNewest(reply: ProxyReportAnswer, table: RouteTable?, evacuations: Evacuations): Boolean =
        reply.tableVersion >= (table?.version ?: 0) && (reply.evacuations?.revision ?: 0) >= evacuations.revision

    // Counts from the time of the request, so that network delay only makes the state older.
    private fun confirmedAt(sentAt: ClockReading, receivedAt: ClockReading, reply: ProxyReportAnswer): ClockReading? {
        val heldMillis = heldMillis(sentAt, receivedAt, reply)
        return ageMillis(reply)?.let { ClockReading(sentAt.monotonicMillis + heldMillis - it, sentAt.wallMillis + heldMillis - it) }
    }

    // The order was acknowledged after the last confirmation of a state without it; without one it may be of any age.
    private fun earliestOrder(view: ProxyView, receivedAt: ClockReading): ClockReading =
        view.confirmedAt?.takeIf { it.isPast(receivedAt) } ?: ProxyView.LONG_AGO

    private fun samples(clock: LeaderClock, reply: ProxyReportAnswer): Map<GroupId, CommitSample> =
        reply.positions.filterValues { it.askedMillis <= reply.leaderMillis }
            .mapValues { (_, shared) -> CommitSample(clock.toLocal(shared.askedMillis), shared.position) }

    // A control VM that holds its state for confirmed in the future has taken over a time of another clock.
    private fun ageMillis(reply: ProxyReportAnswer): Long? = reply.ageMillis?.takeIf { it >= 0 }

    private fun heldMillis(sentAt: ClockReading, receivedAt: ClockReading, reply: ProxyReportAnswer): Long =
        reply.heldMillis.coerceIn(0, (receivedAt.monotonicMillis - sentAt.monotonicMillis).coerceAtLeast(0))

    private fun ClockReading.isPast(now: ClockReading): Boolean = monotonicMillis <= now.monotonicMillis

    // While this VM was suspended its monotonic clock stood still: the report is older by that time, and the time that it was held
    // does not count here.
    private fun leaderClock(sentAt: ClockReading, receivedAt: ClockReading, reply: ProxyReportAnswer): LeaderClock? {
        if (reply.designations == null) return null
        val elapsedMillis = receivedAt.monotonicMillis - sentAt.monotonicMillis
        val stillMillis = (receivedAt.wallMillis - sentAt.wallMillis - elapsedMillis).coerceAtLeast(0)
        val heldMillis = if (stillMillis > MAX_CLOCK_DIFFERENCE_MILLIS) 0 else heldMillis(sentAt, receivedAt, reply)
        val earliestMillis = sentAt.monotonicMillis - stillMillis + heldMillis
        return LeaderClock(reply.controlTerm, reply.leaderMillis, earliestMillis, receivedAt.monotonicMillis)
    }

    private fun newest(known: Evacuations, received: Evacuations?): Evacuations =
        if (received != null && received.revision > known.revision) received else known

    private fun newest(known: PrimaryDesignations, received: PrimaryDesignations?): PrimaryDesignations =
        if (received != null && received.revision > known.revision) received else known

    // Counts from the report or from the last confirmation of the leader by a majority, whichever was earlier: a leader that was
    // replaced without noticing can't extend a lease.
    private fun leasedAt(view: ProxyView, sentAt: ClockReading, receivedAt: ClockReading, reply: ProxyReportAnswer): ClockReading? {
        val known = view.leasedAt?.takeIf { it.isPast(receivedAt) }
        val ageMillis = ageMillis(reply) ?: return known
        val designations = reply.designations ?: return known
        if (designations.revision < view.designations.revision) return known
        val lateMillis = (ageMillis - heldMillis(sentAt, receivedAt, reply)).coerceAtLeast(0)
        val counted = ClockReading(sentAt.monotonicMillis - lateMillis, sentAt.wallMillis - lateMillis)
        return counted.takeIf { known == null || it.monotonicMillis > known.monotonicMillis } ?: known
    }

    private fun controlVms(view: ProxyView, from: VmId, reply: ProxyReportAnswer): List<VmId> {
        val first = listOfNotNull(reply.leader ?: from.takeIf { reply.ageMillis != null })
        val known = reply.controlVms.ifEmpty { view.controlVms.toSet() }
        return (first + known).distinct()
    }

    /** Difference of the two clocks over one report from which the VM counts as suspended; in ms. */
    private const val MAX_CLOCK_DIFFERENCE_MILLIS = 20L
}
