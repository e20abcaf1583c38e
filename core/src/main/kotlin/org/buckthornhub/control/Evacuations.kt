package org.buckthornhub.control

import kotlinx.serialization.Serializable
import org.buckthornhub.fleet.ZoneId

/**
 * Availability zones whose instances may receive no requests, as ordered by operators.
 *
 * @property revision number of changes so far
 */
@Serializable
public data class Evacuations(
    val zones: Set<ZoneId> = emptySet(),
    val revision: Long = 0,
) {
    /** Returns the state in which [zone] is evacuated or not; the same state if nothing changes. */
    public fun with(zone: ZoneId, isEvacuated: Boolean): Evacuations = when (isEvacuated) {
        (zone in zones) -> this
        true -> Evacuations(zones + zone, revision + 1)
        false -> Evacuations(zones - zone, revision + 1)
    }

    public companion object {
        /** Bounds the replicated state, which every answer to a daemon contains. */
        public const val MAX_ZONES: Int = 64

        private const val MAX_NAME_CHARS = 64
        private val NAME = Regex("[A-Za-z0-9._-]{1,$MAX_NAME_CHARS}")

        /** Returns why [zone] can't be the name of a zone; null if it can. */
        public fun errorIn(zone: ZoneId): String? =
            "a zone's name has 1 to $MAX_NAME_CHARS letters, digits, dots, underscores and hyphens".takeUnless { NAME.matches(zone.value) }
    }
}
