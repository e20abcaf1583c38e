package org.buckthornhub.coordination

import com.github.michaelbull.result.get
import org.buckthornhub.group.GroupId
import org.buckthornhub.routetable.RouteTable
import org.buckthornhub.routetable.RouteTableParser
import org.buckthornhub.routetable.StoredRouteTable

/**
 * Number of replicas that have received each acknowledged commit, by group.
 *
 * A table that was stored by a version which did not read these numbers is read again from the document of the operator.
 *
 * @param parser parses the document; null if no version of this front end has left them out
 */
internal class SyncReplicas(private val parser: RouteTableParser?) {
    private var version = -1L
    private var counts = emptyMap<GroupId, Int>()

    fun of(stored: StoredRouteTable?): Map<GroupId, Int> {
        if (stored == null) return emptyMap()
        if (stored.table.version != version) {
            counts = tableOf(stored).groups.mapValues { it.value.syncReplicas ?: 0 }.filterValues { it > 0 }
            version = stored.table.version
        }
        return counts
    }

    private fun tableOf(stored: StoredRouteTable): RouteTable {
        val isRead = stored.table.groups.values.all { it.syncReplicas != null }
        return if (isRead) stored.table else parser?.parse(stored.document)?.get()?.table ?: stored.table
    }
}
