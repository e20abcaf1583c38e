package org.buckthornhub.decision

/**
 * Pure transition function: the same state, message and time give the same decision.
 *
 * @param S immutable state, owned by the task that runs the decider
 * @param M sealed type of messages
 * @param E sealed type of effects, which the task executes in order
 */
public fun interface Decider<S, in M, out E> {
    public fun decide(state: S, message: M, nowMillis: Long): Decision<S, E>
}
