package org.buckthornhub.routetable.review

import org.buckthornhub.group.GroupId
import org.buckthornhub.routetable.DatabaseRoute
import org.buckthornhub.routetable.GroupLimits
import org.buckthornhub.routetable.OrganisationAccess
import org.buckthornhub.routetable.RouteTable

/**
 * A route table as it was written, with the entries that the table itself can't hold because they stand twice.
 *
 * @property routes all routes in the order of the document; null where the type of a route is unknown
 * @property groups all groups in the order of the document
 * @property organisations all organisations in the order of the document
 */
public data class RouteTableDraft(
    val table: RouteTable,
    val routes: List<DatabaseRoute?>,
    val groups: List<Pair<GroupId, GroupLimits>>,
    val organisations: List<OrganisationAccess>,
)
