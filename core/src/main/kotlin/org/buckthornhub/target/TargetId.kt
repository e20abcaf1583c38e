package org.buckthornhub.target

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** Name of one target: an instance of a database group. */
@Serializable
@JvmInline
public value class TargetId(public val value: String) {
    override fun toString(): String = value
}
