package org.buckthornhub.cli.explain.log

/**
 * What saved logs say of one request.
 *
 * @property own lines of the request itself, oldest first
 * @property around what the fleet came to believe around that time, as far as it concerns the request
 * @property alike failures of the same kind about that time, by VM
 */
internal data class LogExplanation(
    val own: List<LogLine>,
    val around: List<LogLine>,
    val alike: Map<String, Int>,
)
