package org.buckthornhub.limit

import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.fleet.VmId

/** A request to the share holder on another daemon; [reply] gets null if there was no reply in time. */
internal class TokenHolderCall(
    val holder: VmId,
    val request: TokenRequest,
    val reply: CompletableDeferred<TokenReply?>,
)
