package org.buckthornhub.explain

/** Effect that the recorder task executes. */
public sealed interface ExplainEffect {
    /** Reports the complete [record] of a request to metrics and traces. */
    public data class Completed(val record: RequestRecord) : ExplainEffect
}
