package org.buckthornhub.instancepool.waiting

/** Why a statement was refused elsewhere than in the queue of the pool. */
public sealed interface ReturnCause {
    /** The instance, or the way to it, was too busy. */
    public data object Busy : ReturnCause

    /** No primary of the group may be used. */
    public data object NoPrimary : ReturnCause

    /** The configuration has been too old to be used for [elapsedMillis]. */
    public data class StaleConfiguration(val elapsedMillis: Long) : ReturnCause
}
