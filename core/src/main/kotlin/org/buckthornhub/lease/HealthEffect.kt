package org.buckthornhub.lease

import org.buckthornhub.target.TargetEntry

/** What the prober asks its task to do. */
public sealed interface HealthEffect {
    /** Asks [entry] for its state. */
    public data class Ask(val entry: TargetEntry) : HealthEffect
}
