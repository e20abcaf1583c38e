package org.buckthornhub.quota

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.organisation.OrganisationId

/** Activity of the rate limit since [sinceMillis] (local monotonic ms), for one log line. */
internal data class LimitActivity(
    val sinceMillis: Long,
    val refused: PersistentMap<OrganisationId, Int> = persistentMapOf(),
    val minRetryMillis: Long = Long.MAX_VALUE,
    val maxRetryMillis: Long = 0,
    val issued: Int = 0,
    val returned: Int = 0,
    val expired: Long = 0,
) {
    fun withRefused(organisation: OrganisationId, operations: Int, retryAfterMillis: Long): LimitActivity = copy(
        refused = refused.put(organisation, (refused[organisation] ?: 0) + operations),
        minRetryMillis = minOf(minRetryMillis, retryAfterMillis),
        maxRetryMillis = maxOf(maxRetryMillis, retryAfterMillis),
    )

    /** Returns whether a line is due: something was refused, and the last line is an interval ago. */
    fun isDue(nowMillis: Long): Boolean = refused.isNotEmpty() && nowMillis - sinceMillis >= INTERVAL_MILLIS

    /** Returns the line; of the organisations it names those with the most refusals. */
    fun line(): String {
        val most = refused.entries.sortedByDescending { it.value }
        val named = most.take(MAX_NAMED).joinToString { "${it.key.value}: ${it.value}" }
        val others = if (most.size > MAX_NAMED) ", others: ${most.drop(MAX_NAMED).sumOf { it.value }}" else ""
        return "refused by the rate limit: $named$others; told to return after $minRetryMillis to $maxRetryMillis ms; " +
            "reserve tokens issued: $issued, returned: $returned, expired: $expired"
    }

    private companion object {
        const val INTERVAL_MILLIS = 1_000L
        const val MAX_NAMED = 5
    }
}
