package org.buckthornhub.quota

/** @property tokens taken out of the reserve, of which [reserve] is left */
public data class ReserveDraw(
    val reserve: TokenReserve,
    val tokens: Int,
)
