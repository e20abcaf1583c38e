package org.buckthornhub.explain

import kotlinx.serialization.Serializable
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.group.GroupId
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.statement.RequestId
import org.buckthornhub.target.TargetId

/**
 * Record of one request on this daemon, from which `explain`, metrics and traces are derived.
 *
 * @property startedWallMillis wall time at which the request was received
 * @property startedMillis local monotonic time at which the request was received
 * @property waitedMillis time that the request waited for admission
 * @property tookMillis duration of the request; null while it runs
 * @property detail cause of [error], if the request failed
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
