package org.buckthornhub.standin.instance

import org.buckthornhub.fleet.ZoneId

/** Address of a daemon that receives announcements; [zone] is null if it was not specified. */
internal data class DaemonAddress(
    val address: String,
    val zone: ZoneId?,
) {
    companion object {
        /** Parses `HOST:PORT` or `ZONE=HOST:PORT`. */
        fun parse(text: String): DaemonAddress {
            val zone = text.substringBefore('=', missingDelimiterValue = "")
            return DaemonAddress(text.substringAfter('='), zone.takeIf { it.isNotEmpty() }?.let { ZoneId(it) })
        }
    }
}
