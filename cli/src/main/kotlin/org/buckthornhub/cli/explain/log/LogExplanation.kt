package org.buckthornhub.cli.explain.log

/**
 * Lines of saved logs that explain one request.
 *
 * @property own lines of the request, oldest first
 * @property related lines about fleet events that concern the request, within a few seconds of it
 * @property similar number of failures of the same kind at about the same time, by VM
 */
internal data class LogExplanation(
    val own: List<LogLine>,
    val related: List<LogLine>,
    val similar: Map<String, Int>,
)
