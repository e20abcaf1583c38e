package org.buckthornhub.instancepool.waiting

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.organisation.OrganisationId

/**
 * Connection time that organisations have used in a group, on a scale on which all of them advance together.
 *
 * @property currentMillis point from which an organisation starts that has used less than the others
 * @property usedMillis point that each organisation has reached; organisations that are not listed are at [currentMillis]
 * @property passedOverMillis by urgency, connection time of others since a statement of that urgency was served while one waits
 */
public data class GroupProgress(
    val currentMillis: Double = 0.0,
    val usedMillis: PersistentMap<OrganisationId, Double> = persistentMapOf(),
    val passedOverMillis: PersistentMap<Int, Double> = persistentMapOf(),
) {
    internal fun startOf(organisation: OrganisationId): Double = maxOf(currentMillis, usedMillis[organisation] ?: 0.0)
}
