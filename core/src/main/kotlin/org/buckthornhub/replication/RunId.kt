package org.buckthornhub.replication

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** Identifies one run of a process. Monotonic times of different runs can't be compared, as the clock may start anew with a run. */
@Serializable
@JvmInline
public value class RunId(public val value: String) {
    override fun toString(): String = value
}
