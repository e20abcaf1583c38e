package org.buckthornhub.statement

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** Chosen by the caller; names one request of one organisation, and a resend of it. */
@Serializable
@JvmInline
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}
