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

/** Delivers to the [others] in this process; messages to a zone other than [zone] take [betweenZonesMillis]. */
internal class DelayedPeers(
    private val scope: CoroutineScope,
    private val zone: ZoneId,
    private val betweenZonesMillis: Long,
    private val others: () -> PersistentList<InstanceTask>,
) : Peers {
    override fun send(effect: InstanceEffect.Send): Unit =
        others().filter { isMeant(it.current(), effect) }.forEach { deliver(it, effect.message) }

    private fun isMeant(other: InstanceState, effect: InstanceEffect.Send): Boolean =
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
