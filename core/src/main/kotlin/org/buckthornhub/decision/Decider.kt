package org.buckthornhub.decision

/**
 * A pure transition function: the same state, message and time give the same decision.
 *
 * @param S the immutable state, owned by the task that runs the decider
 * @param M the closed type of messages
 * @param E the closed type of effects, carried out by the task in their order
 */
public fun interface Decider<S, in M, out E> {
    public fun decide(state: S, message: M, nowMillis: Long): Decision<S, E>
}
