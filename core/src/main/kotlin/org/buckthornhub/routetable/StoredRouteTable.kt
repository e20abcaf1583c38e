package org.buckthornhub.routetable

import kotlinx.serialization.Serializable

/**
 * A route table with the document that it was parsed from, which operators can read back unchanged.
 *
 * @property document text as the operator sent it; stored only to be read back
 */
@Serializable
public data class StoredRouteTable(
    val table: RouteTable,
    val document: String,
)
