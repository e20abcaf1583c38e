package org.buckthornhub.control

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** Identifies one change and all resends of it. Chosen by the operator's tool. */
@Serializable
@JvmInline
public value class ChangeId(public val value: String) {
    override fun toString(): String = value
}
