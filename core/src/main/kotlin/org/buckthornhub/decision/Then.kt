package org.buckthornhub.decision

/** Goes on from the state of this decision; the effects of both stay in order. */
internal inline fun <S, E> Decision<S, E>.then(next: (S) -> Decision<S, E>): Decision<S, E> {
    val following = next(state)
    return Decision(following.state, effects.addAll(following.effects))
}
