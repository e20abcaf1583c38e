package org.buckthornhub.standin.instance

import kotlinx.collections.immutable.PersistentList
import org.buckthornhub.clock.Clock
import org.buckthornhub.task.DeciderTask
import org.buckthornhub.task.Mailbox

/** Runs one instance; [siblings] gives the mailboxes of the other instances of its group. */
public class InstanceTask(
    name: String,
    initial: InstanceState,
    clock: Clock,
    private val siblings: () -> PersistentList<Mailbox<InstanceMessage>>,
) : DeciderTask<InstanceState, InstanceMessage, InstanceEffect>(name, InstanceDecider(), initial, clock) {
    override suspend fun carryOut(effect: InstanceEffect) {
        when (effect) {
            is InstanceEffect.Answer<*> -> complete(effect)
            is InstanceEffect.SendEntries ->
                siblings().forEach { it.offer(InstanceMessage.Replicate(effect.term, effect.after, effect.entries)) }
        }
    }

    private fun <T> complete(effect: InstanceEffect.Answer<T>) {
        effect.reply.complete(effect.value)
    }
}
