package org.buckthornhub.limit

import kotlinx.serialization.Serializable
import org.buckthornhub.organisation.OrganisationId

/** Asks the holder of a zone's share for up to [amount]; the answer names [askId]. */
@Serializable
public data class TokenAsk(
    val askId: Long,
    val organisation: OrganisationId,
    val amount: TokenAmount,
)
