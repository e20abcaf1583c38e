package org.buckthornhub.failover

import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.group.Term

/** Stops replicas from receiving commits while a new primary is chosen. */
public interface ReplicaControl {
    /**
     * Makes [instance] stop receiving commits, if it is a replica and [term] is above the newest term, and returns its status after
     * that. It receives commits again after [resume], a promotion, or its restart.
     *
     * A busy instance is asked again until [timeoutMillis] have passed; its status is then not complete, and it may still receive
     * commits. Returns null if it does not reply.
     *
     * @param term null to return the status alone, without asking a busy instance again
     */
    public suspend fun pause(instance: InstanceRecord, term: Term?, timeoutMillis: Long): InstanceStatus?

    /** Makes [instance] receive commits again; returns false if it did not confirm that within [timeoutMillis]. */
    public suspend fun resume(instance: InstanceRecord, timeoutMillis: Long): Boolean
}
