package org.buckthornhub.control

import org.buckthornhub.routetable.RouteTable

/** Kind of entry that a configuration may have many of, and the table with a number of them. */
internal data class TableSizeCase(
    val name: String,
    val table: (Int) -> RouteTable,
) {
    override fun toString(): String = name
}
