package org.buckthornhub.standin.network

import kotlinx.collections.immutable.PersistentList
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.standin.instance.InstanceEffect
import org.buckthornhub.standin.instance.InstanceMessage
import org.buckthornhub.standin.instance.InstanceState
import org.buckthornhub.standin.instance.InstanceTask

/** Delivers messages to the [others] in this process, with a delay of [betweenZonesMillis] to zones other than [zone]. */
internal class DelayedPeers(
    private val scope: CoroutineScope,
    private val zone: ZoneId,
    private val betweenZonesMillis: Long,
    private val others: () -> PersistentList<InstanceTask>,
) : Peers {
    override fun send(effect: InstanceEffect.Send): Unit =
        others().filter { isRecipient(it.current(), effect) }.forEach { deliver(it, effect.message) }

    private fun isRecipient(other: InstanceState, effect: InstanceEffect.Send): Boolean =
        (effect.to == null || other.target == effect.to) && (effect.onlyZone == null || other.zone == effect.onlyZone)

    private fun deliver(other: InstanceTask, message: InstanceMessage) {
        if (other.current().zone == zone) {
            other.offer(message)
            return
        }
        scope.launch {
            delay(betweenZonesMillis)
            other.offer(message)
        }
    }
}
