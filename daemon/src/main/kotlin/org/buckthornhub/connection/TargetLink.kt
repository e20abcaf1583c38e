package org.buckthornhub.connection

import com.github.michaelbull.result.Result
import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.group.Position
import org.buckthornhub.organisation.OrganisationId

/** Connection to a target. It runs one statement at a time and is closed after its first failure. */
public interface TargetLink : AutoCloseable {
    public val isOpen: Boolean

    /** Log position of the target when the connection was opened; null if unknown. */
    public val position: Position?

    public suspend fun run(statement: TargetStatement, timeoutMillis: Long): Result<TargetReply, TargetLinkFailure>

    /** Opens links; the `onEnd` of a link is called when the link closes other than by [close]. */
    public fun interface Factory {
        public suspend fun open(
            instance: InstanceRecord,
            organisation: OrganisationId,
            timeoutMillis: Long,
            onEnd: () -> Unit,
        ): Result<TargetLink, TargetConnectFailure>
    }
}
