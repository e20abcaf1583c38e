package org.buckthornhub.task

/** Accepts messages for a task; the only access to a task from outside. */
public fun interface Mailbox<in M> {
    /** Enqueues [message] without waiting; returns false if the mailbox is full or the task has ended. */
    public fun offer(message: M): Boolean
}
