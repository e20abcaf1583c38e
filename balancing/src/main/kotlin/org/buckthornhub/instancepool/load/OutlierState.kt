package org.buckthornhub.instancepool.load

/**
 * Evidence that an instance fails more statements than its peers, and its ejection.
 *
 * @property score log-likelihood ratio of the hypotheses that the instance is an outlier and that it is like its peers; at least 0
 * @property ejectedUntilMillis end of the newest ejection; readmission starts then
 * @property ejections number of ejections so far
 * @property pauseMillis length of the newest ejection
 */
public data class OutlierState(
    val score: Double = 0.0,
    val scoredAtMillis: Long = 0,
    val ejectedUntilMillis: Long = 0,
    val ejections: Int = 0,
    val pauseMillis: Long = 0,
) {
    /** Returns whether the instance is ejected at [nowMillis]. */
    public fun isEjected(nowMillis: Long): Boolean = ejections > 0 && nowMillis < ejectedUntilMillis

    /** Returns the share of its usual statements that the instance gets: 0 while ejected, then increasing to 1. */
    public fun admittedShare(nowMillis: Long): Double = when {
        ejections == 0 -> 1.0
        nowMillis < ejectedUntilMillis -> 0.0
        else -> ((nowMillis - ejectedUntilMillis) / READMISSION_MILLIS).coerceIn(FIRST_SHARE, 1.0)
    }

    internal companion object {
        /** Time over which an instance is readmitted, in ms: long enough for a few statements of each daemon. */
        const val READMISSION_MILLIS = 4_000.0

        /** Share of statements at the start of the readmission. */
        private const val FIRST_SHARE = 0.1
    }
}
