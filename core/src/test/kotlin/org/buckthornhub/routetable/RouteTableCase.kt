package org.buckthornhub.routetable

/** A route table as sent, and how many faults it has. */
internal data class RouteTableCase(
    val name: String,
    val routes: List<DatabaseRoute>,
    val organisations: List<OrganisationAccess>,
    val faults: Int,
) {
    override fun toString(): String = name
}
