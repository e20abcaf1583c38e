package org.buckthornhub.lease

import com.github.michaelbull.result.get
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.launch
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

/** Holds the leases of this daemon, and renews them with one request per period. */
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
    private val offered = MutableStateFlow<PersistentMap<GroupId, GroupLeadership>>(persistentMapOf())
    private var isLeaving = false
    private lateinit var scope: CoroutineScope

    /** The leases that this daemon holds. */
    val leases: StateSource<HeldLeases> = StateSource { published.value.held }

    /** The view of the feed, with newer committed leaderships that the control leader has offered directly. */
    val view: StateSource<ReplicatedView> = StateSource { withOffered(replicated.current()) }

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
        val current = reports()
        decide(HolderMessage.Renew(if (isLeaving) emptyList() else requestedLeases(current), current))
    }

    private fun offered(leadership: GroupLeadership) {
        offered.value = offered.value.put(leadership.group, leadership)
        renew()
    }

    private fun leave() {
        isLeaving = true
        renew()
    }

    private fun requestedLeases(reports: List<TargetReport>): List<GroupTerm> {
        val reachable = reports.filter { it.reachable }.map { it.target }
        return view.current().state.leaderships.values.filter { it.primary in reachable }.map { GroupTerm(it.group, it.term) }
    }

    private fun withOffered(known: ReplicatedView): ReplicatedView {
        val newer = offered.value.filter { (group, found) -> found.term > (known.state.leaderships[group]?.term ?: Term.NONE) }
        return if (newer.isEmpty()) known else known.copy(state = known.state.copy(leaderships = known.state.leaderships + newer))
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
    } catch (e: IllegalArgumentException) {
        null
    }
}
