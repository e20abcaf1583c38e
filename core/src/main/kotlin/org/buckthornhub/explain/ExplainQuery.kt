package org.buckthornhub.explain

import org.buckthornhub.group.GroupId
import org.buckthornhub.organisation.OrganisationId

/** A query for recorded requests and events; a criterion that is null matches everything. */
public data class ExplainQuery(
    val traceId: String? = null,
    val group: GroupId? = null,
    val organisation: OrganisationId? = null,
    val maxRequests: Int = 20,
) {
    /** Evaluates the query on [state]. With an organisation, only its failed requests match. */
    public fun answer(state: ExplainState): ExplainAnswer = ExplainAnswer(
        requests = state.records.values.filter { matches(it) }.sortedByDescending { it.startedMillis }.take(maxRequests),
        events = if (traceId == null) state.events.filter { group == null || it.group == group }.asReversed() else emptyList(),
    )

    private fun matches(record: RequestRecord): Boolean = (traceId == null || record.traceId == traceId) &&
        (group == null || record.group == group) &&
        (organisation == null || record.organisation == organisation && record.error != null)
}
