package org.buckthornhub.statement

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** Identifies a request within its organisation; chosen by the caller, and the same when the request is sent again. */
@Serializable
@JvmInline
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}
