package org.buckthornhub.limit

import org.buckthornhub.fleet.ZoneId

/** What the task that admits requests wants done. */
public sealed interface TokenClientEffect {
    /** The request of [ticket] has its token, after [waitedMillis]. */
    public data class Admitted(
        val ticket: Long,
        val waitedMillis: Long,
    ) : TokenClientEffect

    /** The request of [ticket] gets no token; a repeat is worth trying after [retryAfterMillis]. */
    public data class Refused(
        val ticket: Long,
        val retryAfterMillis: Long,
    ) : TokenClientEffect

    /** Send [request] to the holder of [zone], for each organisation in it; answer with `Answered`, also when it fails. */
    public data class Send(
        val zone: ZoneId,
        val request: TokenRequest,
    ) : TokenClientEffect
}
