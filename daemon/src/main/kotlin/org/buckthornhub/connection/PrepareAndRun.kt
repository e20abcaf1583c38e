package org.buckthornhub.connection

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import org.buckthornhub.group.Position
import org.buckthornhub.instancepool.TargetLease
import org.buckthornhub.statement.RequestId

/** Sets up the connection for [session], then runs [work] on it. */
internal suspend fun TargetLease.prepareAndRun(
    work: DataStatement,
    id: RequestId,
    session: SessionState,
    floor: Position?,
    timeoutMillis: Long,
): Result<TargetReply, TargetLinkFailure> {
    val name = prepare(session, (work as? DataStatement.Prepared)?.statement, timeoutMillis).getOrElse {
        // Only the setup was sent, not the statement.
        return Err(it.copy(mayHaveRun = false))
    }
    val statement = when (work) {
        is DataStatement.Plain -> TargetStatement.Run(id, work.text, floor)
        is DataStatement.Prepared -> TargetStatement.Execute(id, checkNotNull(name) { "statement is not prepared" }, work.arguments, floor)
    }
    return run(statement, timeoutMillis)
}
