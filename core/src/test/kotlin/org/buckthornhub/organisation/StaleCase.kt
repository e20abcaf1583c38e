package org.buckthornhub.organisation

import org.buckthornhub.error.ErrorKind

/** A request with a configuration of a certain age, and the expected refusal, if any. */
internal data class StaleCase(
    val name: String,
    val freshMillis: Long?,
    val refuseAfterMillis: Long?,
    val key: ApiKey? = ApiKey("good"),
    val error: ErrorKind? = null,
)
