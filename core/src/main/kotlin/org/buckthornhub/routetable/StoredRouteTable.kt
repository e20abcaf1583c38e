package org.buckthornhub.routetable

import kotlinx.serialization.Serializable

/**
 * A route table with the text that it was read from, which operators get back as they sent it.
 *
 * @property document the operator's own text, never interpreted here
 */
@Serializable
public data class StoredRouteTable(
    val table: RouteTable,
    val document: String,
)
