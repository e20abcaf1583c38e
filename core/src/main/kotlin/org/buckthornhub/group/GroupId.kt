package org.buckthornhub.group

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** Name of a replicated database group. */
@Serializable
@JvmInline
public value class GroupId(public val value: String) {
    override fun toString(): String = value
}
