package org.buckthornhub.connection

import org.buckthornhub.organisation.KeyDigest
import org.buckthornhub.routetable.DatabaseName

/** Database and key digest with which a caller opened its session. */
internal data class CallerIdentity(
    val database: DatabaseName,
    val key: KeyDigest,
)
