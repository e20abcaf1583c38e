package org.buckthornhub.limit

import kotlinx.coroutines.CompletableDeferred

/** What the task that mints this daemon's shares is told. */
internal sealed interface ShareHolderCall {
    /** A daemon asks for tokens. */
    class Ask(
        val request: TokenRequest,
        val reply: CompletableDeferred<TokenReply>,
    ) : ShareHolderCall

    /** The control leader answered [request]. */
    class LeaseGranted(
        val request: ShareRequest,
        val reply: ShareReply,
    ) : ShareHolderCall

    /** It is time to renew the leases. */
    data object Renew : ShareHolderCall

    /** It is time to look for changed lists. */
    data object LookAtLists : ShareHolderCall
}
