package org.buckthornhub.explain

import kotlinx.serialization.Serializable

/** The answer to an operator's question: requests and events, the newest first. */
@Serializable
public data class ExplainAnswer(
    val requests: List<RequestRecord>,
    val events: List<ExplainEvent>,
)
