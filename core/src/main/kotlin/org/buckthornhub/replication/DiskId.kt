package org.buckthornhub.replication

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** Names one data folder; a folder that was lost is followed by one with a new id. */
@Serializable
@JvmInline
public value class DiskId(public val value: String) {
    override fun toString(): String = value
}
