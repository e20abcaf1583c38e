package org.buckthornhub.instancepool.waiting

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * What decisions about waiting are based on. Remains empty where decisions do not follow the measured load.
 *
 * @property returns by what was asked for, the times at which refused callers were told to return; null for all groups together
 */
public data class WaitingState(
    val progress: ServiceProgress = ServiceProgress(),
    val holds: HoldTimes = HoldTimes(),
    val outages: Outages = Outages(),
    val returns: PersistentMap<HoldKind?, ReturnSchedule> = persistentMapOf(),
)
