package org.buckthornhub.explain

import kotlinx.collections.immutable.persistentListOf
import org.buckthornhub.decision.Decider
import org.buckthornhub.decision.Decision

/** Records requests and events for `explain`; keeps the newest [maxRecords] requests and [maxEvents] events. */
public class ExplainDecider(
    private val maxRecords: Int,
    private val maxEvents: Int = 200,
) : Decider<ExplainState, ExplainMessage, ExplainEffect> {
    override fun decide(state: ExplainState, message: ExplainMessage, nowMillis: Long): Decision<ExplainState, ExplainEffect> =
        when (message) {
            is ExplainMessage.Started -> Decision(withRecord(state, message.record))
            is ExplainMessage.Authenticated -> Decision(updated(state, message.spanId) { it.copy(organisation = message.organisation) })
            is ExplainMessage.StepEntered -> Decision(updated(state, message.spanId) { withStep(it, message) })
            is ExplainMessage.Ended -> ended(state, message)
            is ExplainMessage.EventOccurred -> Decision(state.copy(events = withEvent(state, message.event)))
        }

    private fun withRecord(state: ExplainState, record: RequestRecord): ExplainState {
        val added =
            state.copy(
                records = state.records.put(record.spanId, record),
                order = state.order.put(state.next, record.spanId),
                next = state.next + 1,
            )
        return if (added.order.size > maxRecords) withoutOldest(added) else added
    }

    private fun withoutOldest(state: ExplainState): ExplainState {
        val spanId = state.order[state.oldest]
        val records = if (spanId == null) state.records else state.records.remove(spanId)
        return state.copy(records = records, order = state.order.remove(state.oldest), oldest = state.oldest + 1)
    }

    private fun withStep(record: RequestRecord, message: ExplainMessage.StepEntered): RequestRecord = record.copy(
        steps = record.steps + RecordedStep(message.name, message.atMillis - record.startedMillis, message.detail),
        waitedMillis = record.waitedMillis + message.waitedMillis,
        target = message.target ?: record.target,
    )

    private fun ended(state: ExplainState, message: ExplainMessage.Ended): Decision<ExplainState, ExplainEffect> {
        val record = state.records[message.spanId] ?: return Decision(state)
        val completed =
            record.copy(
                target = message.target ?: record.target,
                fromReplica = message.fromReplica,
                error = message.error?.kind,
                detail = message.error?.detail,
                retryAfterMillis = message.error?.retryAfterMillis,
                tookMillis = message.atMillis - record.startedMillis,
            )
        val next = state.copy(records = state.records.put(message.spanId, completed))
        return Decision(next, persistentListOf(ExplainEffect.Completed(completed)))
    }

    private fun updated(state: ExplainState, spanId: String, change: (RequestRecord) -> RequestRecord): ExplainState {
        val record = state.records[spanId] ?: return state
        return state.copy(records = state.records.put(spanId, change(record)))
    }

    private fun withEvent(state: ExplainState, event: ExplainEvent) =
        state.events.add(event).let { if (it.size > maxEvents) it.removeAt(0) else it }
}
