package org.buckthornhub.proxy

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.buckthornhub.error.ProxyError
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Position
import org.buckthornhub.group.Term
import org.buckthornhub.statement.Answer
import org.buckthornhub.target.TargetCall
import org.buckthornhub.target.TargetGateway
import org.buckthornhub.target.TargetId

/** Returns an answer at position 7 of term 1 for every call. */
internal class FakeGateway(private val replicas: Set<TargetId>) : TargetGateway {
    override suspend fun execute(call: TargetCall): Result<Answer, ProxyError> = Ok(
        Answer(
            value = "v",
            position = Position(Term(1), LogPosition(7)),
            target = call.target,
            fromReplica = call.target in replicas,
        ),
    )
}
