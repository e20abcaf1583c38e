package org.buckthornhub.load.history

/** A fault that was caused during a run; [group] is null if it concerns no single group. */
public data class FaultMark(
    val atMillis: Long,
    val group: String?,
    val label: String,
    val killsPrimary: Boolean,
)
