package org.buckthornhub.organisation

import kotlin.jvm.JvmInline

/** API key of a caller, as received. It is never printed, stored or forwarded; see [KeyDigest]. */
@JvmInline
public value class ApiKey(internal val secret: String) {
    override fun toString(): String = "ApiKey(hidden)"
}
