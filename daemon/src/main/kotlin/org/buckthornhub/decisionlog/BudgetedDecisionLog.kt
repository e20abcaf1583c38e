package org.buckthornhub.decisionlog

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.clock.Clock

/** Writes one structured line for each decision, as far as the budget of the second allows. Used on one thread. */
public class BudgetedDecisionLog(
    private val clock: Clock,
    linesPerSecond: Int = DEFAULT_LINES_PER_SECOND,
) : DecisionLog {
    private var budget = LogBudget(linesPerSecond)

    override fun record(event: DecisionEvent) {
        val (next, isWritten) = budget.after(event, clock.nowMillis())
        val isNewSecond = next.secondStartMillis != budget.secondStartMillis
        budget = next
        if (!isWritten) return
        if (isNewSecond && next.dropped.isNotEmpty()) {
            write(Level.WARN, OVER_BUDGET, next.dropped)
            budget = next.copy(dropped = persistentMapOf())
        }
        // A queue that fills up gives up lines of level INFO first.
        write(if (event.isRoutine) Level.INFO else Level.WARN, event.name, event.fields)
    }

    private fun write(level: Level, name: String, fields: Map<String, Any?>): Unit = logger.at(level) {
        message = name
        payload = fields.filterValues { it != null }.mapValues { it.value as Any }
    }

    public companion object {
        /** A line costs some 20 microseconds: a hundred a second take less than a hundredth of a core. */
        public const val DEFAULT_LINES_PER_SECOND: Int = 100

        /** Says how many lines of each event were left out in the seconds before. */
        public const val OVER_BUDGET: String = "decisions-left-out"
        private val logger = KotlinLogging.logger("decisions")
    }
}
