package org.buckthornhub.failover

import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.group.Term

/** Makes a primary give up its role before another instance is promoted. */
public fun interface PrimaryStopper {
    /** Returns true if [instance] confirmed within [timeoutMillis] that it leads in no term before [term]; otherwise it may still lead. */
    public suspend fun stop(instance: InstanceRecord, term: Term, timeoutMillis: Long): Boolean
}
