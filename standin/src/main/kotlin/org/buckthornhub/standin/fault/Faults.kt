package org.buckthornhub.standin.fault

import org.buckthornhub.fleet.ZoneId

/**
 * The faults that an instance has now.
 *
 * @property silentConnectionsBelow connections with a lower number never answer
 */
public data class Faults(
    val cutOff: Fault.CutOff? = null,
    val silent: Fault.Silent? = null,
    val silentConnectionsBelow: Long = 0,
    val statementMillis: Long = 0,
    val answerMillis: Long = 0,
    val crossed: Boolean = false,
    val leaving: Boolean = false,
    val killed: Boolean = false,
) {
    /** True if the network carries messages between the instance and [zone]; null stands for the zone of a caller that named none. */
    public fun reaches(zone: ZoneId?): Boolean = !killed && (cutOff == null || zone != null && cutOff.servedZone == zone)

    /** True if a request from [zone] gets an answer. */
    public fun answers(zone: ZoneId?): Boolean = reaches(zone) && silent == null

    /** True if announcements reach [zone]. */
    public fun announcesTo(zone: ZoneId?): Boolean = reaches(zone) && silent?.announces != false
}
