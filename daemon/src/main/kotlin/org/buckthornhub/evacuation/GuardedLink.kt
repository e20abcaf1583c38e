package org.buckthornhub.evacuation

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import org.buckthornhub.connection.TargetLink
import org.buckthornhub.connection.TargetLinkFailure
import org.buckthornhub.connection.TargetReply
import org.buckthornhub.connection.TargetStatement
import org.buckthornhub.fleet.ZoneId

/** Link to an instance of [zone] that refuses statements, as not sent, once the zone's evacuation has closed it. */
internal class GuardedLink(
    private val link: TargetLink,
    private val zone: ZoneId,
    private val evacuations: ZoneEvacuations,
) : TargetLink by link {
    override suspend fun run(statement: TargetStatement, timeoutMillis: Long): Result<TargetReply, TargetLinkFailure> {
        if (evacuations.stageOf(zone) < EvacuationStage.CLOSED) return link.run(statement, timeoutMillis)
        return Err(TargetLinkFailure(mayHaveRun = false, isSilent = false, "zone $zone is evacuated"))
    }
}
