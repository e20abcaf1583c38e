package org.buckthornhub.queue

import org.buckthornhub.organisation.OrganisationId

/** Immutable bounded queue of the calls to one target. */
public interface CallQueue {
    public val size: Int

    /** Adds [call]; if the queue is full, refuses [call] or removes another call in its favour. */
    public fun add(call: QueuedCall): QueueAddition

    /** Removes the next call; returns null if the queue is empty. */
    public fun take(): QueueRemoval?

    /** Returns this queue without the call with [ticket], at any position. */
    public fun remove(ticket: Long): CallQueue

    /** Returns the number of calls that would be served before a new one of [organisation]. */
    public fun callsAheadOf(organisation: OrganisationId?): Int
}
