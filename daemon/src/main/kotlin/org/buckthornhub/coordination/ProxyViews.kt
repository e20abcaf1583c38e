package org.buckthornhub.coordination

import org.buckthornhub.fleet.VmId

/** Takes the news of control VMs into the view of a daemon. */
internal object ProxyViews {
    fun after(view: ProxyView, from: VmId, asked: FreshProof, news: ProxyReportAnswer): ProxyView {
        val known = view.table
        val table = news.table?.takeIf { known == null || it.version > known.version } ?: known
        // Counted from the question, so that time on the way makes the answer older. A source that is behind proves nothing.
        val proof = news.ageMillis
            ?.let { age -> FreshProof(asked.monotonicMillis + news.heldMillis - age, asked.wallMillis + news.heldMillis - age) }
            ?.takeIf { news.tableVersion >= (table?.version ?: 0) }
        val instances = news.instances
        return view.copy(
            table = table,
            proof = listOfNotNull(view.proof, proof).maxByOrNull { it.monotonicMillis },
            controlVms = controlVms(view, from, news),
            controlTerm = if (instances != null) news.controlTerm else view.controlTerm,
            directoryRevision = if (instances != null) news.directoryRevision else view.directoryRevision,
            directory = if (instances != null) view.directory.merged(instances, news.ended) else view.directory,
            shares = news.shares ?: view.shares,
            proxies = if (news.shares != null) news.proxies else view.proxies,
            rank = if (news.shares != null) news.rank else view.rank,
        )
    }

    private fun controlVms(view: ProxyView, from: VmId, news: ProxyReportAnswer): List<VmId> {
        val first = listOfNotNull(news.leader ?: from.takeIf { news.ageMillis != null })
        val known = news.controlVms.ifEmpty { view.controlVms.toSet() }
        return (first + known).distinct()
    }
}
