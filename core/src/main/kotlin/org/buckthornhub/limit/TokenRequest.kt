package org.buckthornhub.limit

import kotlinx.serialization.Serializable

/** What a daemon sends to the holder of a zone's shares: settlements first, then asks. */
@Serializable
public data class TokenRequest(
    val settlements: List<BatchSettlement> = emptyList(),
    val asks: List<TokenAsk> = emptyList(),
)
