package org.buckthornhub.failover

import org.buckthornhub.directory.InstanceRecord

/** Queries the status of instances before a promotion. */
public fun interface InstanceSurvey {
    /** Returns the status of [instance], or null if it does not reply within [timeoutMillis]. */
    public suspend fun statusOf(instance: InstanceRecord, timeoutMillis: Long): InstanceStatus?
}
