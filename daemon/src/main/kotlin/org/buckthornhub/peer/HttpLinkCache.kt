package org.buckthornhub.peer

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.http.HttpLink

/** Links of one task, one per address, opened on first use. */
internal class HttpLinkCache(private val factory: HttpLink.Factory) : AutoCloseable {
    private var links: PersistentMap<String, HttpLink> = persistentMapOf()

    /** @param address `host:port` */
    fun to(address: String): HttpLink = links[address] ?: factory.open(address).also { links = links.put(address, it) }

    override fun close(): Unit = links.values.forEach { it.close() }
}
