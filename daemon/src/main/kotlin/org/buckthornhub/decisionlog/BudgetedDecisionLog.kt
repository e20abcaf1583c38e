package org.buckthornhub.decisionlog

import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.KotlinLogging
import org.buckthornhub.clock.Clock

/** Writes one structured line for each decision, as far as the budget of the second allows. Used on one thread. */
public class BudgetedDecisionLog(
    private val clock: Clock,
    linesPerSecond: Int = DEFAULT_LINES_PER_SECOND,
) : DecisionLog {
    private var budget = LogBudget(linesPerSecond)

    override fun record(event: DecisionEvent) {
        val (next, isWritten) = budget.after(event.isRoutine, clock.nowMillis())
        val dropped = next.dropped
        budget = if (isWritten) next.copy(dropped = 0) else next
        if (!isWritten) return
        if (dropped > 0) logger.warn { "$dropped decisions were left out, over the budget of lines a second" }
        write(logger, event)
    }

    private fun write(logger: KLogger, event: DecisionEvent): Unit = logger.atInfo {
        message = event.name
        payload = event.fields.filterValues { it != null }.mapValues { it.value as Any }
    }

    public companion object {
        /** A line costs some 20 microseconds: a hundred a second take less than a hundredth of a core. */
        public const val DEFAULT_LINES_PER_SECOND: Int = 100
        private val logger = KotlinLogging.logger("decisions")
    }
}
