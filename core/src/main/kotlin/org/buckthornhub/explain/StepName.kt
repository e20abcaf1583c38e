package org.buckthornhub.explain

import kotlinx.serialization.Serializable

/** Steps of a request, in their order. Each lasts until the next one begins; the last until the request ends. */
@Serializable
public enum class StepName {
    ENTRY,
    ADMISSION,
    ROUTE,
    EXECUTION,
}
