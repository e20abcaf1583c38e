package org.buckthornhub.explain

import org.buckthornhub.error.ProxyError
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.target.TargetId

/** What the recorder is told; a request goes by its own span id. */
public sealed interface ExplainMessage {
    /** A request arrived. */
    public data class Started(val record: RequestRecord) : ExplainMessage

    /** The key of a request was known; [organisation] is null on groups open to all. */
    public data class Authenticated(
        val spanId: String,
        val organisation: OrganisationId?,
    ) : ExplainMessage

    /**
     * A request reached its next step.
     *
     * @property atMillis local monotonic time
     */
    public data class Reached(
        val spanId: String,
        val name: StepName,
        val atMillis: Long,
        val detail: String,
        val waitedMillis: Long = 0,
        val target: TargetId? = null,
    ) : ExplainMessage

    /** A request was answered: [error] is null if it was served. */
    public data class Ended(
        val spanId: String,
        val atMillis: Long,
        val target: TargetId?,
        val fromReplica: Boolean?,
        val error: ProxyError?,
    ) : ExplainMessage

    /** Something happened to a group. */
    public data class Happened(val event: ExplainEvent) : ExplainMessage
}
