package org.buckthornhub.lease

/** Effects that [HolderDecider] requests from its task. */
public sealed interface HolderEffect {
    /** Sends [request] to the control leader. */
    public data class Send(val request: RenewRequest) : HolderEffect

    /** Schedules the next [HolderMessage.Renew] after [delayMillis] instead of a full renewal period. */
    public data class RenewAfter(val delayMillis: Long) : HolderEffect
}
