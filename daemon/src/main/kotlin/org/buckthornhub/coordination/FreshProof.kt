package org.buckthornhub.coordination

/**
 * A moment at which a majority of the control quorum still stood behind what a daemon has, on both clocks of the daemon.
 *
 * The monotonic clock may stand still while a VM is suspended, and the calendar may be set back: a proof has to be young on both.
 */
internal data class FreshProof(
    val monotonicMillis: Long,
    val wallMillis: Long,
) {
    fun ageMillis(nowMillis: Long, nowWallMillis: Long): Long = maxOf(nowMillis - monotonicMillis, nowWallMillis - wallMillis)
}
