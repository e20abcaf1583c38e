package org.buckthornhub.group

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** Index of a write in the log of a group; 0 is before the first write. */
@Serializable
@JvmInline
public value class LogPosition(public val value: Long) : Comparable<LogPosition> {
    override fun compareTo(other: LogPosition): Int = value.compareTo(other.value)

    public companion object {
        public val START: LogPosition = LogPosition(0)
    }
}
