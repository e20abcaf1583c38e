package org.buckthornhub.horizon

import com.github.michaelbull.result.getOrElse
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.distinctUntilChanged
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.buckthornhub.clock.Clock
import org.buckthornhub.connection.TargetRefusal
import org.buckthornhub.connection.TargetReply
import org.buckthornhub.connection.TargetStatement
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Position
import org.buckthornhub.instancepool.ConnectionRequest
import org.buckthornhub.instancepool.ConnectionRequirement
import org.buckthornhub.instancepool.PoolTask
import org.buckthornhub.target.TargetId
import org.buckthornhub.task.Task
import org.buckthornhub.task.startTicker

/** Knows up to where each group has committed, by asking its leader where the sessions don't. */
internal class HorizonTask(
    private val pool: PoolTask,
    private val clock: Clock,
) : Task<HorizonMessage>("horizon"),
    StateSource<Map<GroupId, GroupHorizon>> {
    private val published = MutableStateFlow<PersistentMap<GroupId, GroupHorizon>>(persistentMapOf())
    private lateinit var scope: CoroutineScope

    override fun current(): Map<GroupId, GroupHorizon> = published.value

    /** Leaders that have given no answer for [SILENT_MILLIS], to one question at least. */
    val unreachable: Flow<Set<TargetId>> = published
        .map { groups -> groups.values.filter { it.isSilent }.mapNotNull { it.leader }.toSet() }
        .distinctUntilChanged()

    /** Whether more than half of the leaders that are known give no answer. */
    fun areMostSilent(): Boolean = published.value.values.filter {
        it.leader != null
    }.let { led -> led.count { it.isSilent } * 2 > led.size }

    /** Tells of an answer to a statement that only a leader runs; [askedMillis] is from before it was sent. */
    fun learn(group: GroupId, askedMillis: Long, position: Position?) {
        if (position != null) offer(HorizonMessage.Learned(group, HorizonSample(askedMillis, position)))
    }

    /** The position for [floorOf], waiting for an answer of the leader until [deadlineMillis] if there is none yet. */
    suspend fun awaitFloor(group: GroupId, deadlineMillis: Long, floorOf: (CommitHorizon) -> Position?): Position? {
        published.value[group]?.let { floorOf(it.horizon) }?.let { return it }
        offer(HorizonMessage.Needed(group))
        return withTimeoutOrNull(deadlineMillis - clock.nowMillis()) {
            published.first { state -> state[group]?.let { floorOf(it.horizon) } != null }[group]?.let { floorOf(it.horizon) }
        }
    }

    override suspend fun onStart(scope: CoroutineScope) {
        this.scope = scope
        scope.startTicker(this, TICK_MILLIS, HorizonMessage.Tick)
    }

    override suspend fun handle(message: HorizonMessage): Unit = when (message) {
        is HorizonMessage.Learned -> update(message.group) { copy(horizon = horizon.with(message.sample), isSilent = false) }
        is HorizonMessage.Asked -> update(message.group) { copy(isAsking = false, isSilent = !message.isAnswered && isLate(this)) }
        is HorizonMessage.Needed -> ask(message.group)
        is HorizonMessage.Leaders -> leaders(message.leaders)
        is HorizonMessage.Tick -> published.value.filter { (_, it) -> isDue(it) }.keys.forEach { ask(it) }
    }

    private fun isDue(group: GroupHorizon) =
        group.leader != null && clock.nowMillis() - (group.horizon.newest?.askedMillis ?: 0) > PROBE_MILLIS

    private fun isLate(group: GroupHorizon) = clock.nowMillis() - group.heardMillis > SILENT_MILLIS

    private fun leaders(leaders: Map<GroupId, TargetId>) {
        val nowMillis = clock.nowMillis()
        (published.value.keys + leaders.keys).forEach { group ->
            val leader = leaders[group]
            update(group) { if (leader == this.leader) this else copy(leader = leader, leaderSinceMillis = nowMillis, isSilent = false) }
        }
    }

    private fun update(group: GroupId, change: GroupHorizon.() -> GroupHorizon) {
        published.value = published.value.put(group, (published.value[group] ?: GroupHorizon()).change())
    }

    private fun ask(group: GroupId) {
        val known = published.value[group] ?: return
        if (known.isAsking || known.leader == null) return
        update(group) { copy(isAsking = true) }
        scope.launch {
            report(HorizonMessage.Asked(group, isAnswered = probe(group)))
        }
    }

    // Only a leader begins a transaction that may write, so its answer shows that it led at that moment.
    private suspend fun probe(group: GroupId): Boolean {
        val want = ConnectionRequest(group, organisation = null, ConnectionRequirement.Primary)
        val lease = pool.acquire(want, clock.nowMillis() + TIMEOUT_MILLIS).getOrElse { return false }
        val askedMillis = clock.nowMillis()
        val reply = lease.run(TargetStatement.Begin(readOnly = false, floor = null), TIMEOUT_MILLIS).getOrElse {
            lease.giveBack()
            return false
        }
        if (reply is TargetReply.Refused && reply.refusal == TargetRefusal.NOT_LEADING) {
            pool.demote(lease.instance.target)
        }
        if (reply is TargetReply.Completed) {
            learn(group, askedMillis, reply.position)
            lease.run(TargetStatement.RollBack, TIMEOUT_MILLIS)
        }
        lease.giveBack()
        return true
    }

    private companion object {
        /** A leader is asked if no session has had an answer for so long; it is found silent within two of these, in ms. */
        const val PROBE_MILLIS = 250L

        /** In ms. */
        const val TICK_MILLIS = 50L

        /** A leader takes a fraction of a millisecond for a question, and the way at most some more; in ms. */
        const val TIMEOUT_MILLIS = 350L

        /** A question that was sent late and its time-out; in ms. */
        const val SILENT_MILLIS = 600L
    }
}
