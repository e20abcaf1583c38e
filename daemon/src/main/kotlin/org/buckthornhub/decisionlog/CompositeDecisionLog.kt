package org.buckthornhub.decisionlog

/** Forwards each decision to several logs in order. */
internal class CompositeDecisionLog(private val logs: List<DecisionLog>) : DecisionLog {
    override fun record(event: DecisionEvent): Unit = logs.forEach { it.record(event) }
}
