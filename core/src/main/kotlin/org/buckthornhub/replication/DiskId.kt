package org.buckthornhub.replication

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** Identifies one data folder. A folder created in place of a lost one gets a new id. */
@Serializable
@JvmInline
public value class DiskId(public val value: String) {
    override fun toString(): String = value
}
