package org.buckthornhub.connection

import com.github.michaelbull.result.getOrElse
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.group.Position
import org.buckthornhub.instancepool.ConnectionRequest
import org.buckthornhub.instancepool.ConnectionRequirement
import org.buckthornhub.routetable.ReadGuarantee
import org.buckthornhub.statement.RequestId
import org.buckthornhub.target.TargetId

/** Runs single reads at any instance that is recent enough. */
internal class ReadStatements(private val environment: SessionEnvironment) {
    suspend fun read(
        work: TargetWork,
        id: RequestId,
        session: SessionState,
        admission: Admission,
        receivedMillis: Long,
        excluded: Set<TargetId>,
    ): RunOutcome {
        val floor = floorOf(admission, session, receivedMillis) ?: return RunOutcome.NoTarget(unknownFloor(admission))
        val want = wantOf(admission, floor, excluded)
        val lease = environment.pool.acquire(want, admission.offerByMillis).getOrElse { return RunOutcome.NoTarget(it) }
        val target = lease.instance.target
        val reply = lease.work(work, id, session, floor, admission.attemptMillis).getOrElse { failure ->
            lease.giveBack()
            return RunOutcome.Again(target, ProxyError(ErrorKind.ANSWER_LOST, "$target gave no answer: ${failure.detail}"))
        }
        lease.giveBack()
        return when (reply) {
            is TargetReply.Completed -> RunOutcome.Done(reply, lease)
            is TargetReply.Refused -> outcomeOf(target, reply)
        }
    }

    /** The position that a read has to see whose first byte was read at [atMillis]; null if the leader could not be asked in time. */
    suspend fun floorOf(admission: Admission, session: SessionState, atMillis: Long): Position? {
        val group = admission.route.group
        return when (val guarantee = admission.route.guarantee) {
            is ReadGuarantee.Latest -> null
            is ReadGuarantee.BoundedAge ->
                environment.horizons.awaitFloor(group, admission.offerByMillis) { it.floorAt(atMillis, guarantee.maxAgeMillis) }
            is ReadGuarantee.OwnWrites ->
                environment.horizons.awaitFloor(group, admission.offerByMillis) {
                    it.floorAt(atMillis, guarantee.maxAgeMillis, session.commits[group])
                }
        }
    }

    fun wantOf(admission: Admission, floor: Position, excluded: Set<TargetId>) = ConnectionRequest(
        admission.route.group,
        admission.organisation,
        ConnectionRequirement.AtLeast(floor),
        admission.route.priority,
        excluded,
    )

    fun unknownFloor(admission: Admission) =
        ProxyError(ErrorKind.NO_PRIMARY, "the leader of group ${admission.route.group} has not said lately what it has committed")

    private fun outcomeOf(target: TargetId, reply: TargetReply.Refused): RunOutcome {
        val error = TargetErrors.of(target, reply)
        val isFinal = reply.refusal == TargetRefusal.MALFORMED || reply.refusal == TargetRefusal.TIMED_OUT
        return if (isFinal) RunOutcome.Final(error) else RunOutcome.Again(target, error)
    }
}
