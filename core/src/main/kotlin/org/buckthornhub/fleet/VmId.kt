package org.buckthornhub.fleet

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** Identifies a VM that runs a daemon; unique in the fleet. */
@Serializable
@JvmInline
public value class VmId(public val value: String) {
    override fun toString(): String = value
}
