package org.buckthornhub.limit

import kotlinx.serialization.Serializable

/** The holder's answer; an ask that is not named got nothing. */
@Serializable
public data class TokenReply(val grants: List<TokenGrant> = emptyList())
