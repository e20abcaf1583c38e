package org.buckthornhub.lease

import com.github.michaelbull.result.get
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import org.buckthornhub.clock.Clock
import org.buckthornhub.control.ControlClient
import org.buckthornhub.control.ReplicatedView
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.Term
import org.buckthornhub.http.PeerJson
import org.buckthornhub.task.Task
import org.buckthornhub.task.startTicker

/** Holds the leases of this daemon, and renews them all in one message a period. */
internal class HolderTask(
    holder: HolderId,
    private val settings: LeaseSettings,
    private val control: ControlClient,
    private val replicated: StateSource<ReplicatedView>,
    private val reports: () -> List<TargetReport>,
    private val clock: Clock,
) : Task<HolderTaskMessage>("lease-holder") {
    private val decider = HolderDecider(settings)
    private val published = MutableStateFlow(HolderState(holder))
    private var offered: PersistentMap<GroupId, GroupLeadership> = persistentMapOf()
    private var isLeaving = false
    private lateinit var scope: CoroutineScope

    /** The leases that this daemon holds. */
    val leases: StateSource<HeldLeases> = StateSource { published.value.held }

    override suspend fun onStart(scope: CoroutineScope) {
        this.scope = scope
        scope.startTicker(this, settings.renewMillis, HolderTaskMessage.Renew)
    }

    override suspend fun handle(message: HolderTaskMessage) {
        when (message) {
            is HolderTaskMessage.Renew -> renew()
            is HolderTaskMessage.Offered -> offered(message.leadership)
            is HolderTaskMessage.Decide -> decide(message.message)
            is HolderTaskMessage.Leave -> leave()
        }
    }

    private fun renew() {
        val found = reports()
        decide(HolderMessage.Renew(if (isLeaving) emptyList() else wanted(found), found))
    }

    private fun offered(leadership: GroupLeadership) {
        offered = offered.put(leadership.group, leadership)
        renew()
    }

    private fun leave() {
        isLeaving = true
        renew()
    }

    private fun wanted(reports: List<TargetReport>): List<GroupTerm> {
        val reached = reports.filter { it.reachable }.map { it.target }
        return leaderships().filter { it.primary in reached }.map { GroupTerm(it.group, it.term) }
    }

    private fun leaderships(): List<GroupLeadership> {
        val known = replicated.current().state.leaderships
        val newer = offered.values.filter { it.term > (known[it.group]?.term ?: Term.NONE) }
        return known.values.filter { found -> newer.none { it.group == found.group } } + newer
    }

    private fun decide(message: HolderMessage) {
        val decision = decider.decide(published.value, message, clock.nowMillis())
        published.value = decision.state
        decision.effects.forEach { effect ->
            when (effect) {
                is HolderEffect.Send -> send(effect.request)
                is HolderEffect.RenewAfter -> renewAfter(effect.delayMillis)
            }
        }
    }

    private fun renewAfter(delayMillis: Long) {
        scope.launch {
            delay(delayMillis)
            offer(HolderTaskMessage.Renew)
        }
    }

    private fun send(request: RenewRequest) {
        scope.launch {
            val body = PeerJson.encodeToString(RenewRequest.serializer(), request)
            val reply = control.post(LeaseRoutes.RENEW_PATH, body, settings.leaseMillis).get()?.takeIf { it.isSuccess }
            val response = reply?.let { decode(it.body) }
            offer(HolderTaskMessage.Decide(response?.let { HolderMessage.Answered(it) } ?: HolderMessage.Unanswered(request.sequence)))
        }
    }

    private fun decode(body: String): RenewResponse? = try {
        PeerJson.decodeFromString(RenewResponse.serializer(), body)
    } catch (e: SerializationException) {
        null
    }
}
