package org.buckthornhub.limit

import kotlinx.serialization.Serializable

/** The share holder's reply; a batch request without a grant received nothing. */
@Serializable
public data class TokenReply(val grants: List<TokenGrant> = emptyList())
