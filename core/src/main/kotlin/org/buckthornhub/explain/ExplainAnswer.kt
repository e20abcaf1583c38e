package org.buckthornhub.explain

import kotlinx.serialization.Serializable

/** Requests and events that match an operator's query, newest first. */
@Serializable
public data class ExplainAnswer(
    val requests: List<RequestRecord>,
    val events: List<ExplainEvent>,
)
