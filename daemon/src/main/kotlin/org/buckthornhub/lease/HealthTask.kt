package org.buckthornhub.lease

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.buckthornhub.clock.Clock
import org.buckthornhub.fleet.FleetMessage
import org.buckthornhub.http.HttpLink
import org.buckthornhub.promotion.TargetLinks
import org.buckthornhub.target.TargetEntry
import org.buckthornhub.task.DeciderTask
import org.buckthornhub.task.Mailbox

/**
 * Probes the targets that this daemon owns.
 *
 * @param onChange told when the control leader has to hear of something at once
 */
internal class HealthTask(
    private val settings: HealthSettings,
    private val ownedTargets: () -> List<TargetEntry>,
    private val fleet: Mailbox<FleetMessage>,
    private val onChange: Mailbox<HolderTaskMessage>,
    links: HttpLink.Factory,
    clock: Clock,
) : DeciderTask<HealthState, HealthMessage, HealthEffect>("health", HealthDecider(), HealthState(), clock) {
    private val targetLinks = TargetLinks(links)
    private lateinit var scope: CoroutineScope
    private var reported: List<TargetReport> = emptyList()

    override suspend fun onStart(scope: CoroutineScope) {
        this.scope = scope
        scope.launch {
            while (isActive) {
                offer(HealthMessage.Probe(ownedTargets()))
                delay(settings.probeMillis)
            }
        }
    }

    override suspend fun handle(message: HealthMessage) {
        super.handle(message)
        val reports = current().reports(clock.nowMillis(), settings)
        val isSame = reports.size == reported.size && reports.zip(reported).all { (now, before) -> now.equalsExceptPosition(before) }
        reported = reports
        if (!isSame) onChange.offer(HolderTaskMessage.Renew)
        if (message is HealthMessage.Probe) targetLinks.closeOthers(message.owned.map { it.address }.toSet())
    }

    override suspend fun carryOut(effect: HealthEffect) {
        when (effect) {
            is HealthEffect.RequestStatus -> ask(effect.entry)
        }
    }

    override fun onEnd(): Unit = targetLinks.close()

    private fun ask(entry: TargetEntry) {
        val link = targetLinks.to(entry.address)
        scope.launch {
            val answer = link.status(settings.timeoutMillis)?.takeIf { it.target == entry.target } ?: return@launch
            val found = answer.toEntry(clock.nowMillis())
            offer(HealthMessage.Answered(found))
            fleet.offer(FleetMessage.Announced(found))
        }
    }
}
