package org.buckthornhub.observe

import io.github.oshai.kotlinlogging.KotlinLogging
import org.buckthornhub.clock.Clock
import org.buckthornhub.explain.ExplainDecider
import org.buckthornhub.explain.ExplainEffect
import org.buckthornhub.explain.ExplainMessage
import org.buckthornhub.explain.ExplainState
import org.buckthornhub.explain.RequestRecord
import org.buckthornhub.task.DeciderTask

/** Keeps the request records for `explain`, and passes each completed record to [observers]. */
internal class RecorderTask(
    maxRecords: Int,
    private val observers: List<RecordObserver>,
    clock: Clock,
) : DeciderTask<ExplainState, ExplainMessage, ExplainEffect>("recorder", ExplainDecider(maxRecords), ExplainState(), clock) {
    override suspend fun carryOut(effect: ExplainEffect) {
        when (effect) {
            is ExplainEffect.Completed -> {
                observers.forEach { it.completed(effect.record) }
                if (effect.record.error != null) logFailure(effect.record)
            }
        }
    }

    private fun logFailure(record: RequestRecord) = logger.atInfo {
        message = "request failed: ${record.error}: ${record.detail}"
        payload = mapOf("trace" to record.traceId, "group" to record.group.value, "organisation" to record.organisation?.value)
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
