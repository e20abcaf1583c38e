package org.buckthornhub.limit

import org.buckthornhub.fleet.VmId

/** Gateway to the share holders in this daemon and in others. */
internal fun interface TokenHolders {
    /** Returns the reply of [holder], or null if there was none in time. */
    suspend fun request(holder: VmId, request: TokenRequest): TokenReply?
}
