package org.buckthornhub.connection

import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.routetable.DatabaseRoute

/** Route of a caller, and the organisation that its statements run for; `NONE` on anonymous routes if nobody holds the key. */
public data class AdmittedCaller(
    val route: DatabaseRoute,
    val organisation: OrganisationId,
)
