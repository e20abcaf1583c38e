package org.buckthornhub.limit

import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.fleet.VmId

/** One request to the holder of shares on another daemon; the answer is null if there was none in time. */
internal class TokenHolderCall(
    val holder: VmId,
    val request: TokenRequest,
    val reply: CompletableDeferred<TokenReply?>,
)
