package org.buckthornhub.explain

import kotlinx.serialization.Serializable

/**
 * One step of a recorded request.
 *
 * @property atMillis start of the step, in ms since the start of the request
 * @property detail one short sentence
 */
@Serializable
public data class RecordedStep(
    val name: StepName,
    val atMillis: Long,
    val detail: String,
)
