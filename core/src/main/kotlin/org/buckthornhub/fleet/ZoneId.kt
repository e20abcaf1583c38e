package org.buckthornhub.fleet

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** Name of an availability zone. */
@Serializable
@JvmInline
public value class ZoneId(public val value: String) {
    override fun toString(): String = value
}
