package org.buckthornhub.queue

import org.buckthornhub.organisation.OrganisationId

/** An immutable, bounded queue of calls for one target. */
public interface CallQueue {
    public val size: Int

    /** Adds [call], or names the call that has to be refused for it. */
    public fun add(call: QueuedCall): QueueAddition

    /** The call that is next, and the queue without it; null if none waits. */
    public fun take(): QueueRemoval?

    /** This queue without the call named [ticket], wherever it stands. */
    public fun remove(ticket: Long): CallQueue

    /** Calls that would be served before a new one of [organisation]. */
    public fun callsAheadOf(organisation: OrganisationId?): Int
}
