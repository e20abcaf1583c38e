package org.buckthornhub.decisionlog

/** Takes the decisions of a process; it never waits. */
public fun interface DecisionLog {
    public fun record(event: DecisionEvent)

    public companion object {
        /** Keeps nothing. */
        public val NONE: DecisionLog = DecisionLog {}
    }
}
