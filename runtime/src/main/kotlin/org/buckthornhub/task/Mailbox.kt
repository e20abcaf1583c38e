package org.buckthornhub.task

/** The only way to reach a task from outside. */
public fun interface Mailbox<in M> {
    /** Hands over [message] without waiting; false if the mailbox is full or the task has ended. */
    public fun offer(message: M): Boolean
}
