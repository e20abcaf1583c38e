package org.buckthornhub.directory

/**
 * When the last line was written, and how many refusals were left out since.
 *
 * @property lineMillis local monotonic ms; null before the first line
 */
internal data class RefusalLogState(
    val lineMillis: Long? = null,
    val omitted: Long = 0,
) {
    fun isLineDue(nowMillis: Long, intervalMillis: Long): Boolean = lineMillis == null || nowMillis - lineMillis >= intervalMillis

    fun next(nowMillis: Long, intervalMillis: Long): RefusalLogState =
        if (isLineDue(nowMillis, intervalMillis)) RefusalLogState(nowMillis) else copy(omitted = omitted + 1)
}
