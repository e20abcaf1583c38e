package org.buckthornhub.replication

import org.buckthornhub.fleet.ZoneId

/**
 * Spreads the members of the quorum over availability zones, so that the loss of one zone leaves a majority with its disks.
 *
 * @property zones zone of each known VM; a VM whose zone is not known counts as alone in it
 */
internal class ZoneSpread private constructor(private val zones: Map<Member, ZoneId>) {
    /** Returns the number of [members] in the zone of [member], other than itself. */
    fun crowding(member: Member, members: Set<Member>): Int {
        val zone = zones[member] ?: return 0
        return members.count { it != member && zones[it] == zone }
    }

    /** Returns whether the zone of [member] is known and holds none of [members]. */
    fun isAloneInZone(member: Member, members: Set<Member>): Boolean = member in zones && crowding(member, members) == 0

    /** Returns the member to give up for another one in a zone without members; null if no zone holds several, or only [kept] could go. */
    fun surplus(members: Set<Member>, kept: Member): Member? =
        members.filter { it != kept && crowding(it, members) > 0 }.maxByOrNull { crowding(it, members) }

    companion object {
        fun of(state: ReplicationState, leader: Role.Leader): ZoneSpread {
            val known = leader.followers.mapNotNull { (member, progress) -> progress.zone?.let { member to it } }.toMap()
            return ZoneSpread(state.settings.zone?.let { known + (state.self to it) } ?: known)
        }
    }
}
