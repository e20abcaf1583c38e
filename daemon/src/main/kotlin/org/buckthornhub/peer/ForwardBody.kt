package org.buckthornhub.peer

import kotlinx.serialization.Serializable
import org.buckthornhub.group.Position
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.statement.Operation
import org.buckthornhub.statement.RequestId
import org.buckthornhub.target.TargetCall
import org.buckthornhub.target.TargetId

/**
 * Body of a call that is forwarded to the owner of its target. It never contains the caller's key.
 *
 * @property remainingMillis time left until the deadline; relative, since the clocks of two daemons differ
 */
@Serializable
internal data class ForwardBody(
    val target: TargetId,
    val operation: Operation,
    val requestId: RequestId,
    val organisation: OrganisationId?,
    val position: Position,
    val remainingMillis: Long,
    val traceParent: String? = null,
    val waitMillis: Long = 0,
) {
    fun toCall(nowMillis: Long): TargetCall = TargetCall(
        target = target,
        operation = operation,
        requestId = requestId,
        organisation = organisation,
        position = position,
        deadlineMillis = nowMillis + remainingMillis,
        traceParent = traceParent,
        waitMillis = waitMillis,
    )

    companion object {
        fun of(call: TargetCall, nowMillis: Long): ForwardBody = ForwardBody(
            target = call.target,
            operation = call.operation,
            requestId = call.requestId,
            organisation = call.organisation,
            position = call.position,
            remainingMillis = call.deadlineMillis - nowMillis,
            traceParent = call.traceParent,
            waitMillis = call.waitMillis,
        )
    }
}
