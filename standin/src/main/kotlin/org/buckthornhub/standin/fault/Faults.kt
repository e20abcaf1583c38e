package org.buckthornhub.standin.fault

import org.buckthornhub.fleet.ZoneId

/**
 * Active faults of an instance.
 *
 * @property silentConnectionsBelow connections with a lower number are not answered
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
    /** Returns true if the instance and [zone] can exchange messages; [zone] is null for a caller that sent no zone. */
    public fun reaches(zone: ZoneId?): Boolean = !killed && (cutOff == null || zone != null && cutOff.servedZone == zone)

    /** Returns true if requests from [zone] are answered. */
    public fun answers(zone: ZoneId?): Boolean = reaches(zone) && silent == null

    /** Returns true if announcements are delivered to [zone]. */
    public fun announcesTo(zone: ZoneId?): Boolean = reaches(zone) && silent?.announces != false
}
