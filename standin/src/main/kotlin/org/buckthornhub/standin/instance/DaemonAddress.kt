package org.buckthornhub.standin.instance

import org.buckthornhub.fleet.ZoneId

/** A daemon that instances announce themselves to; [zone] is null where it was not given. */
internal data class DaemonAddress(
    val address: String,
    val zone: ZoneId?,
) {
    companion object {
        /** Reads `HOST:PORT` or `ZONE=HOST:PORT`. */
        fun parse(text: String): DaemonAddress {
            val zone = text.substringBefore('=', missingDelimiterValue = "")
            return DaemonAddress(text.substringAfter('='), zone.takeIf { it.isNotEmpty() }?.let { ZoneId(it) })
        }
    }
}
