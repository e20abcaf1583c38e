package org.buckthornhub.limit

import kotlin.random.Random

/**
 * Arrival pattern of one organisation's requests.
 *
 * @property maxWrongfulPercent allowed refusals of the chosen strategy beyond those of an exact bucket; random arrivals at
 *   95 % of the rate sometimes empty even an exact bucket, so tokens outstanding at other daemons are missing then
 */
internal enum class TraceKind(
    val loadPercent: Int,
    val maxWrongfulPercent: Double,
) {
    /** Each request arrives at a random VM. */
    SCATTERED(95, maxWrongfulPercent = 0.6),

    /** All requests arrive at one VM. */
    ONE_VM(95, maxWrongfulPercent = 0.4),

    /** All requests arrive at one VM, which changes every 1.1 s. */
    ROAMING(95, maxWrongfulPercent = 1.0),

    /** As [ROAMING], but with evenly spaced arrivals with a jitter of 50 % instead of random ones. */
    EVEN_ROAMING(95, maxWrongfulPercent = 0.1),

    /** An idle period, then the whole burst within 20 ms at one VM. */
    BURST_AT_ONE_VM(0, maxWrongfulPercent = 0.1),

    /** Five times the rate, at random VMs. */
    FLOOD(500, maxWrongfulPercent = 0.1),
    ;

    fun vm(random: Random, vms: Int, organisation: Int, nowMicros: Long): Int = when (this) {
        SCATTERED, FLOOD -> random.nextInt(vms)
        ONE_VM -> organisation % vms
        ROAMING, EVEN_ROAMING, BURST_AT_ONE_VM -> Math.floorMod(Random(nowMicros / 1_100_000 * 31 + organisation).nextInt(), vms)
    }
}
