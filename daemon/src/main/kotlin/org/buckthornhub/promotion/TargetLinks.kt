package org.buckthornhub.promotion

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.http.HttpLink

/** Links of one task to targets, opened on first use. Confined to that task. */
internal class TargetLinks(private val links: HttpLink.Factory) : AutoCloseable {
    private var open: PersistentMap<String, TargetLink> = persistentMapOf()

    fun to(address: String): TargetLink = open[address] ?: TargetLink(links.open(address)).also { open = open.put(address, it) }

    /** Closes the links to addresses that are not in [used]. */
    fun closeOthers(used: Set<String>) {
        val unused = open.keys.filter { it !in used }
        unused.forEach { open.getValue(it).close() }
        open = unused.fold(open) { left, address -> left.remove(address) }
    }

    override fun close(): Unit = open.values.forEach { it.close() }
}
