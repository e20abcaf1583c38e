package org.buckthornhub.cli.explain.log

import org.buckthornhub.decisionlog.BudgetedDecisionLog
import org.buckthornhub.decisionlog.DecisionEvent

/**
 * One line of a daemon's log.
 *
 * @property writtenMillis Unix time in ms on the clock of the VM that wrote the line
 * @property vm VM that wrote the line, if the file names it before the line
 * @property fields structured fields of the event, by name
 */
internal data class LogLine(
    val writtenMillis: Long,
    val vm: String?,
    val message: String,
    val fields: Map<String, String>,
) {
    val isFailure: Boolean get() = message == DecisionEvent.REQUEST_FAILED

    /** True for lines of normal operation and for summaries of dropped lines, which explain no single request. */
    val isRoutine: Boolean get() = message == DecisionEvent.REQUEST_SERVED || message == BudgetedDecisionLog.OVER_BUDGET

    /** Returns whether the message or a field contains [name]. */
    fun mentions(name: String): Boolean = name in message || fields.values.any { name in it }
}
