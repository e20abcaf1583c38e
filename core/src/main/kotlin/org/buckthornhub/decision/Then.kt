package org.buckthornhub.decision

/** Applies [next] to the state of this decision, and appends its effects. */
public inline fun <S, E> Decision<S, E>.then(next: (S) -> Decision<S, E>): Decision<S, E> {
    val following = next(state)
    return Decision(following.state, effects.addAll(following.effects))
}
