package org.buckthornhub.limit

import org.buckthornhub.fleet.ZoneId

/** Effects requested by [TokenClientDecider]. */
public sealed interface TokenClientEffect {
    /** Admit the request with [ticket], which waited [waitedMillis] for its token. */
    public data class Admitted(
        val ticket: Long,
        val waitedMillis: Long,
    ) : TokenClientEffect

    /** Refuse the request with [ticket]; a retry may succeed after [retryAfterMillis]. */
    public data class Refused(
        val ticket: Long,
        val retryAfterMillis: Long,
    ) : TokenClientEffect

    /** Send [request] to the holders in [zone] of its organisations; [TokenClientMessage.ReplyReceived] follows, also on failure. */
    public data class Send(
        val zone: ZoneId,
        val request: TokenRequest,
    ) : TokenClientEffect
}
