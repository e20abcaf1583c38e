package org.buckthornhub.directory

/**
 * Finds records that can't be the announcement of a running instance.
 *
 * The directory keeps the newest incarnation of an id and of an address, and the highest sequence of an incarnation. A number that
 * no instance can have reached would therefore shut out the real instance for good, so it is refused before it is compared. Ids and
 * names of groups are sent to instances as fields of a line, so they hold no white space and no control character.
 *
 * Assumes that the wall clocks of instances and control VMs differ by at most [MAX_AHEAD_MILLIS], also after one was stepped, and that
 * an instance announces itself at most once a millisecond.
 */
public object InstanceRecordCheck {
    /** Largest difference of two wall clocks, in ms; these are close to each other and are stepped by seconds. */
    public const val MAX_AHEAD_MILLIS: Long = 600_000

    /** Longest id, address, or name of a group or zone, in characters. */
    public const val MAX_CHARS: Int = 255
    private val PORTS = 1..65_535

    /** Returns why [record] is invalid at the wall time [nowWallMillis], or null if it is valid. */
    public fun errorIn(record: InstanceRecord, nowWallMillis: Long): String? {
        val started = record.startedWallMillis
        return when {
            started < 0 || started > nowWallMillis + MAX_AHEAD_MILLIS -> "start time $started is not in the past"
            record.sequence < 0 || record.sequence > maxSequence(started, nowWallMillis) ->
                "sequence ${record.sequence} can't have been reached since the start at $started"
            !isName(record.target.value) || !isName(record.group.value) -> "its id or group is no name"
            !isAddress(record.address) -> "its address is not HOST:PORT"
            record.zone.value.length > MAX_CHARS -> "the name of its zone is too long"
            else -> null
        }
    }

    // Names become fields of lines that are sent to instances, and every daemon holds the whole directory.
    private fun isName(text: String): Boolean =
        text.length in 1..MAX_CHARS && text.none { it.isWhitespace() || it.isISOControl() || it.isSurrogate() }

    private fun isAddress(text: String): Boolean =
        isName(text) && text.indexOf(':') > 0 && text.substringAfterLast(':').toIntOrNull()?.let { it in PORTS } ?: false

    // The start may already lie ahead by as much as the clocks may differ.
    private fun maxSequence(startedWallMillis: Long, nowWallMillis: Long): Long = nowWallMillis - startedWallMillis + 2 * MAX_AHEAD_MILLIS
}
