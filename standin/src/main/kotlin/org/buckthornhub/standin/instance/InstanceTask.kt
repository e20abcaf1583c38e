package org.buckthornhub.standin.instance

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import org.buckthornhub.clock.Clock
import org.buckthornhub.standin.network.Peers
import org.buckthornhub.task.DeciderTask
import org.buckthornhub.task.Mailbox
import org.buckthornhub.task.startTicker

/** Task of one instance. Sending true to [listener] opens the instance's port, and false closes it. */
public class InstanceTask(
    initial: InstanceState,
    clock: Clock,
    private val peers: Peers,
    private val listener: Mailbox<Boolean>,
) : DeciderTask<InstanceState, InstanceMessage, InstanceEffect>(initial.target.value, InstanceDecider(), initial, clock) {
    override suspend fun onStart(scope: CoroutineScope) {
        scope.startTicker(this, TICK_MILLIS, InstanceMessage.Tick)
        scope.startTicker(this, HEARTBEAT_MILLIS, InstanceMessage.Heartbeat)
    }

    override suspend fun carryOut(effect: InstanceEffect) {
        when (effect) {
            is InstanceEffect.Answer<*> -> complete(effect)
            is InstanceEffect.Send -> peers.send(effect)
            is InstanceEffect.Listen -> listener.offer(effect.open)
            is InstanceEffect.Discarded ->
                logger.warn { "$name discarded ${effect.count} entries that the primary of the newer term does not have" }
        }
    }

    private fun <T> complete(effect: InstanceEffect.Answer<T>) {
        effect.reply.complete(effect.value)
    }

    private companion object {
        const val TICK_MILLIS = 10L
        const val HEARTBEAT_MILLIS = 100L
        val logger = KotlinLogging.logger {}
    }
}
