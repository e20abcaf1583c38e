package org.buckthornhub.target

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** Name of a target, which is one instance of a database group. */
@Serializable
@JvmInline
public value class TargetId(public val value: String) {
    override fun toString(): String = value
}
