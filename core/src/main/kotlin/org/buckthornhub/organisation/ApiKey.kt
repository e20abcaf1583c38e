package org.buckthornhub.organisation

import kotlin.jvm.JvmInline

/** A caller's key as it came in. It is never printed, stored or sent on; see [KeyDigest]. */
@JvmInline
public value class ApiKey(internal val secret: String) {
    override fun toString(): String = "ApiKey(hidden)"
}
