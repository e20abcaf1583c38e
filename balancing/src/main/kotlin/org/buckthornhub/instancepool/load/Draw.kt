package org.buckthornhub.instancepool.load

import kotlin.math.ln

/** Numbers that look random and are the same for the same inputs, so that deciders stay pure. */
internal object Draw {
    private const val UNIT_BITS = 53
    private const val GOLDEN_GAMMA = -7046029254386353131L
    private const val MIX_1 = -4658895280553007687L
    private const val MIX_2 = -7723592293110705685L
    private const val SHIFT_1 = 30
    private const val SHIFT_2 = 27
    private const val SHIFT_3 = 31

    /** Returns a number from 0 (excluded) to 1 (excluded). */
    fun of(seed: Long, number: Long, salt: Long): Double {
        val mixed = mix(mix(mix(seed + GOLDEN_GAMMA) + number) + salt)
        return ((mixed ushr (Long.SIZE_BITS - UNIT_BITS)) + HALF) / (1L shl UNIT_BITS)
    }

    /**
     * Returns a number with the standard Gumbel distribution.
     *
     * Where such a number is added to the negative cost of each option, divided by a scale, the chance of an option to have the
     * highest sum falls exponentially with its cost.
     */
    fun gumbel(seed: Long, number: Long, salt: Long): Double = -ln(-ln(of(seed, number, salt)))

    // The finalizer of SplitMix64.
    private fun mix(value: Long): Long {
        val first = (value xor (value ushr SHIFT_1)) * MIX_1
        val second = (first xor (first ushr SHIFT_2)) * MIX_2
        return second xor (second ushr SHIFT_3)
    }

    private const val HALF = 0.5
}
