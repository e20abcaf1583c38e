package org.buckthornhub.connection

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.evacuation.EvacuatedRecords
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Position
import org.buckthornhub.instancepool.ConnectionRequest
import org.buckthornhub.instancepool.ConnectionRequirement
import org.buckthornhub.instancepool.TargetLease
import org.buckthornhub.routetable.ReadGuarantee
import org.buckthornhub.statement.RequestId
import org.buckthornhub.target.TargetId

/** Runs single reads on any instance whose data is recent enough. */
internal class ReadRunner(private val environment: SessionEnvironment) {
    private val connections = AdmittedConnections(environment)
    private val records = EvacuatedRecords(environment.evacuations)

    suspend fun read(
        work: DataStatement,
        id: RequestId,
        session: SessionState,
        admission: Admission,
        receivedMillis: Long,
        excluded: Set<TargetId>,
    ): RunOutcome {
        val floor = floorOf(admission, session, receivedMillis) ?: return RunOutcome.NoTarget(unknownFloorError(admission))
        val lease = acquire(admission, floor, excluded).getOrElse { return RunOutcome.NoTarget(it) }
        val target = lease.instance.target
        val reply = lease.prepareAndRun(work, id, session, floor, admission.attemptMillis).getOrElse { failure ->
            lease.release()
            return RunOutcome.Retry(TargetErrors.readLost(target, failure), isTargetAvoided = true)
        }
        lease.release()
        return when (reply) {
            is TargetReply.Completed -> RunOutcome.Done(reply, lease)
            is TargetReply.Refused -> outcomeOf(target, reply)
        }
    }

    /** Returns the position that a read received at [atMillis] must see; null if there is none or it is not known in time. */
    suspend fun floorOf(admission: Admission, session: SessionState, atMillis: Long): Position? {
        val group = admission.route.group
        return when (val guarantee = admission.route.guarantee) {
            is ReadGuarantee.Latest -> null
            is ReadGuarantee.BoundedAge ->
                environment.commitTimelines.awaitFloor(group, admission.acquireDeadlineMillis) {
                    it.floorAt(atMillis, guarantee.maxAgeMillis)
                }
            is ReadGuarantee.OwnWrites ->
                environment.commitTimelines.awaitFloor(group, admission.acquireDeadlineMillis) {
                    it.floorAt(atMillis, guarantee.maxAgeMillis, session.commits[group])
                }
        }
    }

    /** Checks out a connection to an instance that has applied [floor] and is not one of [excluded]. */
    suspend fun acquire(admission: Admission, floor: Position, excluded: Set<TargetId>): Result<TargetLease, ProxyError> {
        val request = ConnectionRequest(
            admission.route.group,
            admission.organisation,
            ConnectionRequirement.AtLeast(floor),
            admission.route.priority,
            excluded + evacuated(admission.route.group),
        )
        return connections.acquire(request, admission)
    }

    // A primary in an evacuated zone is still used for a time, but not for what other instances can serve.
    private fun evacuated(group: GroupId): Set<TargetId> {
        val view = environment.view.value
        if (view.evacuatedSince.isEmpty()) return emptySet()
        return records.unreadable(view.directory.records.values.filter { it.group == group })
    }

    fun unknownFloorError(admission: Admission) =
        ProxyError(ErrorKind.NO_PRIMARY, "the primary of group ${admission.route.group} has not reported its commit position recently")

    private fun outcomeOf(target: TargetId, reply: TargetReply.Refused): RunOutcome {
        val failure = TargetErrors.refused(target, reply)
        val isFinal = reply.refusal == TargetRefusal.MALFORMED || reply.refusal == TargetRefusal.TIMED_OUT
        return if (isFinal) RunOutcome.Final(failure) else RunOutcome.Retry(failure, isTargetAvoided = true)
    }
}
