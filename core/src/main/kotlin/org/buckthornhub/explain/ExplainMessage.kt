package org.buckthornhub.explain

import org.buckthornhub.error.ProxyError
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.target.TargetId

/** Message to the recorder; requests are identified by their own span id. */
public sealed interface ExplainMessage {
    /** A request was received. */
    public data class Started(val record: RequestRecord) : ExplainMessage

    /** A request was authenticated; [organisation] is null for a read of an open group without a key. */
    public data class Authenticated(
        val spanId: String,
        val organisation: OrganisationId?,
    ) : ExplainMessage

    /**
     * A request entered the step [name].
     *
     * @property atMillis local monotonic time of the start of the step
     */
    public data class StepEntered(
        val spanId: String,
        val name: StepName,
        val atMillis: Long,
        val detail: String,
        val waitedMillis: Long = 0,
        val target: TargetId? = null,
    ) : ExplainMessage

    /** A request ended; [error] is null if it was served. */
    public data class Ended(
        val spanId: String,
        val atMillis: Long,
        val target: TargetId?,
        val fromReplica: Boolean?,
        val error: ProxyError?,
    ) : ExplainMessage

    /** An event of a group occurred. */
    public data class EventOccurred(val event: ExplainEvent) : ExplainMessage
}
