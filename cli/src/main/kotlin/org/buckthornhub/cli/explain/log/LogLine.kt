package org.buckthornhub.cli.explain.log

import org.buckthornhub.decisionlog.BudgetedDecisionLog
import org.buckthornhub.decisionlog.DecisionEvent

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
    val isFailure: Boolean get() = message == DecisionEvent.REQUEST_FAILED

    /** Said of many requests, and of none in particular. */
    val isRoutine: Boolean get() = message == DecisionEvent.REQUEST_SERVED || message == BudgetedDecisionLog.OVER_BUDGET

    /** Whether it speaks of [name] anywhere. */
    fun mentions(name: String): Boolean = name in message || fields.values.any { name in it }
}
