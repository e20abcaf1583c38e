package org.buckthornhub.control

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** Chosen by an operator's tool; names one change, and every resend of it. */
@Serializable
@JvmInline
public value class ChangeId(public val value: String) {
    override fun toString(): String = value
}
