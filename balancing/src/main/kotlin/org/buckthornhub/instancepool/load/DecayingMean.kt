package org.buckthornhub.instancepool.load

import kotlin.math.pow

/**
 * Mean of samples whose weights halve with every half-life.
 *
 * @property weight sum of the weights at [atMillis]; a new sample has weight 1
 */
public data class DecayingMean(
    val mean: Double = 0.0,
    val weight: Double = 0.0,
    val atMillis: Long = 0,
) {
    internal fun with(value: Double, halfLifeMillis: Double, nowMillis: Long): DecayingMean {
        val known = weightAt(halfLifeMillis, nowMillis)
        return DecayingMean((mean * known + value) / (known + 1), known + 1, nowMillis)
    }

    internal fun weightAt(halfLifeMillis: Double, nowMillis: Long): Double =
        weight * HALF.pow((nowMillis - atMillis).coerceAtLeast(0) / halfLifeMillis)

    /** Returns the mean of the samples and of [prior], which counts as [priorWeight] samples. */
    internal fun withPrior(prior: Double, priorWeight: Double, halfLifeMillis: Double, nowMillis: Long): Double {
        val known = weightAt(halfLifeMillis, nowMillis)
        return (mean * known + prior * priorWeight) / (known + priorWeight)
    }

    private companion object {
        const val HALF = 0.5
    }
}
