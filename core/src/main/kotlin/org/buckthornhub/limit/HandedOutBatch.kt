package org.buckthornhub.limit

/** A batch that a holder counts as unspent until it is settled or [expiresMillis], local monotonic time, has come. */
public data class HandedOutBatch(
    val amount: TokenAmount,
    val expiresMillis: Long,
)
