package org.buckthornhub.connection

import org.buckthornhub.organisation.KeyDigest
import org.buckthornhub.routetable.DatabaseName

/** What a caller opened its session with. */
internal data class CallerIdentity(
    val database: DatabaseName,
    val key: KeyDigest,
)
