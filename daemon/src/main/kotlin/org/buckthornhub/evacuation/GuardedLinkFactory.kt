package org.buckthornhub.evacuation

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import org.buckthornhub.connection.TargetConnectFailure
import org.buckthornhub.connection.TargetLink
import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.organisation.OrganisationId

/**
 * Opens links that send nothing to zones whose evacuation has reached [EvacuationStage.CLOSED].
 *
 * Answers the load of statements that were given a connection in time, but have several messages to send to a slow instance.
 */
internal class GuardedLinkFactory(
    private val links: TargetLink.Factory,
    private val evacuations: ZoneEvacuations,
) : TargetLink.Factory {
    override suspend fun open(
        instance: InstanceRecord,
        organisation: OrganisationId,
        timeoutMillis: Long,
        onEnd: () -> Unit,
    ): Result<TargetLink, TargetConnectFailure> {
        val isClosed = evacuations.stageOf(instance.zone) == EvacuationStage.CLOSED
        if (isClosed) return Err(TargetConnectFailure("zone ${instance.zone} is evacuated"))
        return links.open(instance, organisation, timeoutMillis, onEnd).map { GuardedLink(it, instance.zone, evacuations) }
    }
}
