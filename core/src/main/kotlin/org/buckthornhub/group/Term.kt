package org.buckthornhub.group

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** Number of a period with one primary in a group; each promotion starts the next term. */
@Serializable
@JvmInline
public value class Term(public val value: Long) : Comparable<Term> {
    override fun compareTo(other: Term): Int = value.compareTo(other.value)

    public fun next(): Term = Term(value + 1)

    public companion object {
        public val NONE: Term = Term(0)
    }
}
