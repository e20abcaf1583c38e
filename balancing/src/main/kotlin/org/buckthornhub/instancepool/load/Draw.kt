package org.buckthornhub.instancepool.load

import java.util.SplittableRandom
import kotlin.math.ln

/** Numbers that look random and are the same for the same inputs, so that deciders stay pure. */
internal object Draw {
    /** Returns a number from 0 (excluded) to 1 (excluded). */
    fun of(seed: Long, number: Long, salt: Long): Double =
        SplittableRandom(SplittableRandom(SplittableRandom(seed).nextLong() + number).nextLong() + salt).nextDouble(SMALLEST, 1.0)

    /**
     * Returns a number with the standard Gumbel distribution.
     *
     * Where such a number is added to the negative cost of each option, divided by a scale, the chance of an option to have the
     * highest sum falls exponentially with its cost.
     */
    fun gumbel(seed: Long, number: Long, salt: Long): Double = -ln(-ln(of(seed, number, salt)))

    /** Keeps the logarithm of a draw finite. */
    private const val SMALLEST = 1e-12
}
