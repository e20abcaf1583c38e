package org.buckthornhub.failover

import org.buckthornhub.directory.InstanceRecord

/** Asks an instance about itself; null if it gives no answer. */
public fun interface InstanceSurvey {
    public suspend fun statusOf(instance: InstanceRecord, timeoutMillis: Long): InstanceStatus?
}
