package org.buckthornhub.horizon

import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
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
import org.buckthornhub.connection.PrimaryAuthority
import org.buckthornhub.connection.TargetRefusal
import org.buckthornhub.connection.TargetReply
import org.buckthornhub.connection.TargetStatement
import org.buckthornhub.coordination.ClockReading
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Position
import org.buckthornhub.instancepool.ConnectionRequest
import org.buckthornhub.instancepool.ConnectionRequirement
import org.buckthornhub.instancepool.PoolTask
import org.buckthornhub.suspension.SuspensionDetector
import org.buckthornhub.target.TargetId
import org.buckthornhub.task.Task
import org.buckthornhub.task.startTicker

/** Tracks the commit position of each group from the answers to sessions, and probes the primary when there are none. */
internal class CommitTimelineTask(
    private val pool: PoolTask,
    private val authority: PrimaryAuthority,
    private val clock: Clock,
) : Task<CommitTimelineMessage>("horizon"),
    StateSource<Map<GroupId, PrimaryStatus>> {
    private val published = MutableStateFlow<PersistentMap<GroupId, PrimaryStatus>>(persistentMapOf())
    private lateinit var scope: CoroutineScope

    private val suspensions = SuspensionDetector(clock)

    // The monotonic clock stood still during a suspension, so that samples look younger than they are.
    override fun current(): Map<GroupId, PrimaryStatus> {
        if (!suspensions.wasSuspended()) return published.value
        offer(CommitTimelineMessage.Suspended)
        return emptyMap()
    }

    /** Primaries that have not answered for [UNRESPONSIVE_MILLIS] and failed at least one probe. */
    val unreachable: Flow<Set<TargetId>> = published
        .map { groups -> groups.values.filter { it.isUnresponsive }.mapNotNull { it.primary }.toSet() }
        .distinctUntilChanged()

    /** Returns whether more than half of the known primaries are unresponsive. */
    fun areMostPrimariesUnresponsive(): Boolean = published.value.values.filter {
        it.primary != null
    }.let { known -> known.count { it.isUnresponsive } * 2 > known.size }

    /** Takes the [position] in the answer to [answered], which was sent at [sentAt], if only a primary gives that answer. */
    fun observe(group: GroupId, sentAt: ClockReading, answered: AnsweredStatement, position: Position?) {
        if (position == null || !answered.provesPrimary) return
        offer(CommitTimelineMessage.Observed(group, sentAt, position))
    }

    /** Returns the position that [floorOf] computes; waits until [deadlineMillis] for an answer of the primary if it yields null. */
    suspend fun awaitFloor(group: GroupId, deadlineMillis: Long, floorOf: (CommitTimeline) -> Position?): Position? {
        current()[group]?.let { floorOf(it.timeline) }?.let { return it }
        offer(CommitTimelineMessage.Needed(group))
        return withTimeoutOrNull(deadlineMillis - clock.nowMillis()) {
            published
                .first { state -> !suspensions.wasSuspended() && state[group]?.let { floorOf(it.timeline) } != null }[group]
                ?.let { floorOf(it.timeline) }
        }
    }

    override suspend fun onStart(scope: CoroutineScope) {
        this.scope = scope
        scope.startTicker(this, TICK_MILLIS, CommitTimelineMessage.Tick)
    }

    override suspend fun handle(message: CommitTimelineMessage): Unit = when (message) {
        is CommitTimelineMessage.Observed -> observed(message)
        is CommitTimelineMessage.Shared -> message.samples.forEach { (group, sample) ->
            update(group) { copy(timeline = timeline.with(sample)) }
        }
        is CommitTimelineMessage.ProbedGroups -> (published.value.keys + message.groups).forEach { group ->
            update(group) { copy(isProbed = group in message.groups) }
        }
        is CommitTimelineMessage.ProbeEnded -> update(message.group) {
            copy(isProbing = false, isUnresponsive = !message.isAnswered && isOverdue(this))
        }
        is CommitTimelineMessage.Suspended -> forgetAfterSuspension()
        is CommitTimelineMessage.Needed -> startProbe(message.group)
        is CommitTimelineMessage.PrimariesChanged -> updatePrimaries(message.primaries)
        is CommitTimelineMessage.Tick -> published.value.filter { (_, it) -> isDue(it) }.keys.forEach { startProbe(it) }
    }

    // The age counts on both clocks, since the VM may have been suspended between the statement and the answer.
    private fun observed(message: CommitTimelineMessage.Observed) {
        val nowMillis = clock.nowMillis()
        val sample = CommitSample(nowMillis - message.sentAt.ageMillis(nowMillis, clock.wallMillis()), message.position)
        update(message.group) { copy(timeline = timeline.with(sample), ownSample = newer(ownSample, sample), isUnresponsive = false) }
    }

    private fun forgetAfterSuspension() {
        if (!suspensions.checkAndReset()) return
        logger.warn { "this VM was suspended or its wall clock was set forward; known commit positions are discarded" }
        published.value.keys.forEach { group -> update(group) { copy(timeline = CommitTimeline(), ownSample = null) } }
    }

    private fun isDue(group: PrimaryStatus) =
        group.isProbed && group.primary != null && clock.nowMillis() - (group.ownSample?.askedMillis ?: 0) > PROBE_MILLIS

    private fun newer(known: CommitSample?, sample: CommitSample) =
        if (known == null || sample.askedMillis > known.askedMillis) sample else known

    private fun isOverdue(group: PrimaryStatus) = clock.nowMillis() - group.lastAnswerMillis > UNRESPONSIVE_MILLIS

    private fun updatePrimaries(primaries: Map<GroupId, TargetId>) {
        val nowMillis = clock.nowMillis()
        (published.value.keys + primaries.keys).forEach { group ->
            val primary = primaries[group]
            update(group) {
                if (primary == this.primary) this else copy(primary = primary, primarySinceMillis = nowMillis, isUnresponsive = false)
            }
        }
    }

    private fun update(group: GroupId, change: PrimaryStatus.() -> PrimaryStatus) {
        published.value = published.value.put(group, (published.value[group] ?: PrimaryStatus()).change())
    }

    private fun startProbe(group: GroupId) {
        val known = published.value[group] ?: return
        if (known.isProbing || known.primary == null) return
        update(group) { copy(isProbing = true) }
        scope.launch {
            report(CommitTimelineMessage.ProbeEnded(group, isAnswered = probe(group)))
        }
    }

    private suspend fun probe(group: GroupId): Boolean {
        val request = ConnectionRequest(group, organisation = null, ConnectionRequirement.Primary)
        val lease = pool.acquire(request, clock.nowMillis() + TIMEOUT_MILLIS).getOrElse { return false }
        val sentAt = ClockReading.of(clock)
        val begin = TargetStatement.Begin(readOnly = false, floor = null)
        val reply = lease.run(begin, TIMEOUT_MILLIS).getOrElse {
            lease.release()
            return false
        }
        if (reply is TargetReply.Refused && reply.refusal == TargetRefusal.NOT_LEADING) {
            pool.demote(lease.instance.target)
        }
        if (reply is TargetReply.Completed) {
            val answered = AnsweredStatement.Begin(begin.readOnly)
            if (authority.allows(group, lease.instance.target)) observe(group, sentAt, answered, reply.position)
            lease.run(TargetStatement.RollBack, TIMEOUT_MILLIS)
        }
        lease.release()
        return true
    }

    private companion object {
        /** A primary is probed if no session has had an answer for this long; an unresponsive one is detected within twice this; in ms. */
        const val PROBE_MILLIS = 250L

        const val TICK_MILLIS = 50L

        /** A primary answers a probe within a fraction of a millisecond, and the network adds little; in ms. */
        const val TIMEOUT_MILLIS = 350L

        /** Probe interval plus the timeout of a probe; in ms. */
        const val UNRESPONSIVE_MILLIS = 600L
        val logger = KotlinLogging.logger {}
    }
}
