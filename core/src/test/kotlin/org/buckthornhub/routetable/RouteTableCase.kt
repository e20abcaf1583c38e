package org.buckthornhub.routetable

/** A route table as sent by an operator, and the number of its errors. */
internal data class RouteTableCase(
    val name: String,
    val routes: List<DatabaseRoute>,
    val organisations: List<OrganisationAccess>,
    val errors: Int,
) {
    override fun toString(): String = name
}
