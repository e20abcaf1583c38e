package org.buckthornhub.lease

/** What the holding side asks its task to do. */
public sealed interface HolderEffect {
    /** Sends [request] to the control leader. */
    public data class Send(val request: RenewRequest) : HolderEffect

    /** Has the next [HolderMessage.Renew] come in [delayMillis] instead of a whole period. */
    public data class RenewAfter(val delayMillis: Long) : HolderEffect
}
