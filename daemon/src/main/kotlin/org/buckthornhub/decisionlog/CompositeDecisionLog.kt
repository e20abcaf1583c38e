package org.buckthornhub.decisionlog

/** Hands each decision to several logs, in their order. */
internal class CompositeDecisionLog(private val logs: List<DecisionLog>) : DecisionLog {
    override fun record(event: DecisionEvent): Unit = logs.forEach { it.record(event) }
}
