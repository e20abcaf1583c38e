package org.buckthornhub.statement

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** Identifies an open transaction; opaque to callers. */
@Serializable
@JvmInline
public value class TransactionId(public val value: String) {
    override fun toString(): String = value
}
