package org.buckthornhub.quota

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * What one daemon knows of one organisation's operations.
 *
 * @property own tokens of the daemon's own part of the limit
 * @property drawn tokens from the reserve, good until [drawnUntilMillis]
 * @property asked operations since the last tick
 * @property perSecond operations that were lately asked for, whether let through or not
 * @property waiting operations that wait for the reserve, first come first
 * @property noDrawBeforeMillis the reserve was found empty or out of reach, so it is left alone until then
 */
public data class OrganisationMeter(
    val own: MeterState,
    val rate: MeterRate,
    val drawn: Int = 0,
    val drawnUntilMillis: Long = 0,
    val asked: Int = 0,
    val perSecond: Double = 0.0,
    val waiting: PersistentList<Long> = persistentListOf(),
    val isDrawing: Boolean = false,
    val noDrawBeforeMillis: Long = 0,
) {
    /** One token less, drawn ones first as they run out; null if there is none. */
    internal fun spent(nowMillis: Long): OrganisationMeter? = when {
        drawn > 0 && nowMillis < drawnUntilMillis -> copy(drawn = drawn - 1)
        own.tokens >= 1 -> copy(own = own.copy(tokens = own.tokens - 1))
        else -> null
    }
}
