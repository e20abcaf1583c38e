package org.buckthornhub.limit

import kotlinx.coroutines.CompletableDeferred

/** Messages handled by [ShareHolderTask]. */
internal sealed interface ShareHolderCall {
    /** A daemon requests tokens. */
    class IssueTokens(
        val request: TokenRequest,
        val reply: CompletableDeferred<TokenReply>,
    ) : ShareHolderCall

    /** The control leader replied to [request]. */
    class LeasesReplied(
        val request: ShareRequest,
        val reply: ShareReply,
    ) : ShareHolderCall

    /** Renews the leases. */
    data object Renew : ShareHolderCall

    /** Applies changed plans and grants, if there are any. */
    data object RefreshLimits : ShareHolderCall
}
