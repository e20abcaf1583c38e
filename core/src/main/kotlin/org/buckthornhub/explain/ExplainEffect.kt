package org.buckthornhub.explain

/** What the recorder wants done. */
public sealed interface ExplainEffect {
    /** A record is whole: count it and export its spans. */
    public data class Completed(val record: RequestRecord) : ExplainEffect
}
