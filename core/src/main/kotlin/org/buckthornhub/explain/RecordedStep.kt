package org.buckthornhub.explain

import kotlinx.serialization.Serializable

/**
 * One step of a request.
 *
 * @property atMillis since the start of the request
 * @property detail one short sentence
 */
@Serializable
public data class RecordedStep(
    val name: StepName,
    val atMillis: Long,
    val detail: String,
)
