package org.buckthornhub.explain

import kotlinx.serialization.Serializable

/** Steps of a request, in order. A step lasts until the next one begins, the last one until the request ends. */
@Serializable
public enum class StepName {
    ENTRY,
    ADMISSION,
    ROUTE,
    EXECUTION,
}
