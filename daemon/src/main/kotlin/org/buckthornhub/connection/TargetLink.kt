package org.buckthornhub.connection

import com.github.michaelbull.result.Result
import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.group.Position
import org.buckthornhub.organisation.OrganisationId

/** One connection to a target; it runs one statement at a time, and ends with its first failure. */
public interface TargetLink : AutoCloseable {
    public val isOpen: Boolean

    /** Where the target's log stood when the connection was opened. */
    public val position: Position?

    public suspend fun run(statement: TargetStatement, timeoutMillis: Long): Result<TargetReply, TargetLinkFailure>

    /** Opens links; [onEnd] of a link is called when it ends by itself. */
    public fun interface Factory {
        public suspend fun open(
            instance: InstanceRecord,
            organisation: OrganisationId,
            timeoutMillis: Long,
            onEnd: () -> Unit,
        ): Result<TargetLink, TargetConnectFailure>
    }
}
