package org.buckthornhub.instancepool.load

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId

/**
 * Measurements of one daemon that cover more than one instance.
 *
 * @property usual usual time of each kind of statement
 * @property zones excess of statements in each zone, over all groups, in ms; the estimate for instances without recent statements
 * @property calmMillis excess in the own zone while it is not overloaded; null before the first statement
 * @property calmAtMillis time of the newest change of [calmMillis]
 * @property shares share of reads that leaves the own zone, by group
 */
public data class FleetLoad(
    val usual: PersistentMap<StatementKind, UsualTime> = persistentMapOf(),
    val zones: PersistentMap<ZoneId, DecayingMean> = persistentMapOf(),
    val calmMillis: Double? = null,
    val calmAtMillis: Long = 0,
    val shares: PersistentMap<GroupId, LeavingShare> = persistentMapOf(),
)
