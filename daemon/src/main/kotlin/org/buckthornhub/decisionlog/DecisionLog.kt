package org.buckthornhub.decisionlog

/** Records the decisions of a process without blocking. */
public fun interface DecisionLog {
    public fun record(event: DecisionEvent)

    public companion object {
        /** Discards every decision. */
        public val NONE: DecisionLog = DecisionLog {}
    }
}
