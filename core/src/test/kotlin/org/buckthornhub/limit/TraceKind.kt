package org.buckthornhub.limit

import kotlin.random.Random

/**
 * Where and how often one organisation's requests arrive.
 *
 * @property mostWrongfulPercent refusals beyond those of an exact bucket that the chosen way may have; random arrivals at
 *   95 % of the rate empty even an exact bucket now and then, so tokens in other hands are missed there
 */
internal enum class TraceKind(
    val loadPercent: Int,
    val mostWrongfulPercent: Double,
) {
    /** Each request comes in at any VM. */
    SCATTERED(95, mostWrongfulPercent = 0.6),

    /** All requests come in at one VM. */
    ONE_VM(95, mostWrongfulPercent = 0.4),

    /** All requests come in at one VM, which changes every second or so. */
    ROAMING(95, mostWrongfulPercent = 1.0),

    /** As [ROAMING], but evenly spaced with a jitter of a half, not at random. */
    EVEN_ROAMING(95, mostWrongfulPercent = 0.1),

    /** Silence, then the whole burst within 20 ms at one VM. */
    BURST_AT_ONE_VM(0, mostWrongfulPercent = 0.1),

    /** Five times the rate at any VM. */
    FLOOD(500, mostWrongfulPercent = 0.1),
    ;

    fun vm(random: Random, vms: Int, organisation: Int, nowMicros: Long): Int = when (this) {
        SCATTERED, FLOOD -> random.nextInt(vms)
        ONE_VM -> organisation % vms
        ROAMING, EVEN_ROAMING, BURST_AT_ONE_VM -> Math.floorMod(Random(nowMicros / 1_100_000 * 31 + organisation).nextInt(), vms)
    }
}
