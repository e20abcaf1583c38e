package org.buckthornhub.instancepool.load

/**
 * Usual time of statements of one kind while instances are not overloaded.
 *
 * It follows the mean of recent statements downwards within tens of statements and upwards within hundreds, so that an overload of a
 * few seconds counts as excess and a lasting change of the work does not.
 *
 * @property recentMillis mean of about the last eight statements
 */
public data class UsualTime(
    val millis: Double,
    val recentMillis: Double,
) {
    internal fun with(sampleMillis: Double): UsualTime {
        val recent = recentMillis + (sampleMillis - recentMillis) * RECENT_FRACTION
        val fraction = if (recent < millis) FALL_FRACTION else RISE_FRACTION
        return UsualTime(millis + (recent - millis) * fraction, recent)
    }

    internal companion object {
        private const val RECENT_FRACTION = 1.0 / 8
        private const val FALL_FRACTION = 1.0 / 8
        private const val RISE_FRACTION = 1.0 / 50

        fun of(sampleMillis: Double) = UsualTime(sampleMillis, sampleMillis)
    }
}
