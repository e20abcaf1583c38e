package org.buckthornhub.cli.check

import kotlinx.serialization.Serializable

/** One finding in the output of `buckthornhub check --json`. */
@Serializable
internal data class FindingBody(
    val severity: String,
    val line: Int?,
    val text: String,
)
