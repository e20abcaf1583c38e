package org.buckthornhub.load.run

/** Where the logs of the [instances] of one stand-in group are read. */
public data class StandinAddress(
    val address: String,
    val instances: Int,
)
