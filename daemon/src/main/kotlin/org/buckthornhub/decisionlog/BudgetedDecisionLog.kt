package org.buckthornhub.decisionlog

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.clock.Clock

/** Writes one structured log line for each decision, up to a limit of lines per second. Not thread-safe. */
public class BudgetedDecisionLog(
    private val clock: Clock,
    linesPerSecond: Int = DEFAULT_LINES_PER_SECOND,
) : DecisionLog {
    private var budget = LogBudget(linesPerSecond)

    override fun record(event: DecisionEvent) {
        val (next, isWritten) = budget.consume(event, clock.nowMillis())
        val isNewSecond = next.secondStartMillis != budget.secondStartMillis
        budget = next
        if (!isWritten) return
        if (isNewSecond && next.dropped.isNotEmpty()) {
            write(Level.WARN, OVER_BUDGET, next.dropped)
            budget = next.copy(dropped = persistentMapOf())
        }
        // BoundedQueueAppender drops lines of level INFO first when its queue fills up.
        write(if (event.isRoutine) Level.INFO else Level.WARN, event.name, event.fields)
    }

    private fun write(level: Level, name: String, fields: Map<String, Any?>): Unit = logger.at(level) {
        message = name
        payload = fields.filterValues { it != null }.mapValues { it.value as Any }
    }

    public companion object {
        /** A line costs some 20 microseconds, so a hundred a second take less than a hundredth of a core. */
        public const val DEFAULT_LINES_PER_SECOND: Int = 100

        /** Message of the line that reports, for each event, the number of lines dropped in the preceding seconds. */
        public const val OVER_BUDGET: String = "decisions-left-out"
        private val logger = KotlinLogging.logger("decisions")
    }
}
