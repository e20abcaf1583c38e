package org.buckthornhub.task

import kotlinx.coroutines.flow.MutableStateFlow
import org.buckthornhub.clock.Clock
import org.buckthornhub.decision.Decider
import org.buckthornhub.fleet.StateSource

/**
 * Runs a [Decider]: owns its state, passes it each message with the current time, and executes its effects in order.
 *
 * The new state is published as an immutable value after the effects of its decision have been executed.
 */
public abstract class DeciderTask<S, M, E>(
    name: String,
    private val decider: Decider<S, M, E>,
    initial: S,
    protected val clock: Clock,
) : Task<M>(name),
    StateSource<S> {
    private val published = MutableStateFlow(initial)

    override fun current(): S = published.value

    override suspend fun handle(message: M) {
        val decision = decider.decide(published.value, message, clock.nowMillis())
        for (effect in decision.effects) carryOut(effect)
        published.value = decision.state
    }

    protected abstract suspend fun carryOut(effect: E)
}
