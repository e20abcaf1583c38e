package org.buckthornhub.limit

/** A batch that counts as outstanding until it is settled, or expires at [expiresMillis] (local monotonic time). */
public data class IssuedBatch(
    val amount: TokenAmount,
    val expiresMillis: Long,
)
