package org.buckthornhub.limit

import org.buckthornhub.fleet.VmId

/** The way to the holders of shares, in this daemon or another. */
internal fun interface TokenHolders {
    /** The holder's answer, or null if there was none in time. */
    suspend fun ask(holder: VmId, request: TokenRequest): TokenReply?
}
