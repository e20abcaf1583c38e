package org.buckthornhub.fleet

/** A target of [ageMillis] that arrives at 10 s, and the time from which it counts as announced; null if it is dropped. */
internal class TargetAgeCase(
    private val name: String,
    val ageMillis: Long,
    val announcedMillis: Long?,
) {
    override fun toString(): String = name
}
