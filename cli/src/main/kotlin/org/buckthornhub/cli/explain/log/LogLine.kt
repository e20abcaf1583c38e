package org.buckthornhub.cli.explain.log

/**
 * One line of a daemon's log.
 *
 * @property writtenMillis Unix ms on the clock of the VM that wrote it
 * @property vm who wrote it, where the file says so in front of the line
 * @property fields what decided it, by name
 */
internal data class LogLine(
    val writtenMillis: Long,
    val vm: String?,
    val message: String,
    val fields: Map<String, String>,
) {
    val isFailure: Boolean get() = message == "request-failed"

    /** Said of many requests, and of none in particular. */
    val isRoutine: Boolean get() = message == "request-served" || message == "decisions-left-out"

    /** Whether it speaks of [name] anywhere. */
    fun mentions(name: String): Boolean = name in message || fields.values.any { name in it }
}
