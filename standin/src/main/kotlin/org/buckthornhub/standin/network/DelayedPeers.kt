package org.buckthornhub.standin.network

import kotlinx.collections.immutable.PersistentList
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.standin.instance.InstanceMessage
import org.buckthornhub.standin.instance.InstanceTask
import org.buckthornhub.target.TargetId

/** Delivers to the [others] in this process; messages to a zone other than [zone] take [betweenZonesMillis]. */
internal class DelayedPeers(
    private val scope: CoroutineScope,
    private val zone: ZoneId,
    private val betweenZonesMillis: Long,
    private val others: () -> PersistentList<InstanceTask>,
) : Peers {
    override fun send(to: TargetId?, message: InstanceMessage): Unit =
        others().filter { to == null || it.current().target == to }.forEach { deliver(it, message) }

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
