package org.buckthornhub.explain

import kotlinx.serialization.Serializable
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.group.GroupId
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.statement.RequestId
import org.buckthornhub.target.TargetId

/**
 * What one request met on this daemon.
 *
 * @property startedWallMillis calendar time of its arrival
 * @property startedMillis local monotonic time of it
 * @property waitedMillis wait for admission
 * @property tookMillis null while it runs
 * @property detail why it was refused, if it was
 */
@Serializable
public data class RequestRecord(
    val traceId: String,
    val spanId: String,
    val callerSpan: String? = null,
    val isSampled: Boolean = false,
    val requestId: RequestId,
    val group: GroupId,
    val isRead: Boolean,
    val startedWallMillis: Long,
    val startedMillis: Long,
    val organisation: OrganisationId? = null,
    val steps: List<RecordedStep> = emptyList(),
    val waitedMillis: Long = 0,
    val target: TargetId? = null,
    val fromReplica: Boolean? = null,
    val error: ErrorKind? = null,
    val detail: String? = null,
    val retryAfterMillis: Long? = null,
    val tookMillis: Long? = null,
)
