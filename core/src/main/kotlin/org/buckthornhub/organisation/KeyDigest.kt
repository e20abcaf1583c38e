package org.buckthornhub.organisation

import kotlinx.serialization.Serializable
import java.security.MessageDigest
import java.util.HexFormat
import kotlin.jvm.JvmInline

/** SHA-256 of a key in lower-case hexadecimal; the fleet stores only this, not the key. */
@Serializable
@JvmInline
public value class KeyDigest(public val hex: String) {
    public companion object {
        public fun of(key: ApiKey): KeyDigest {
            val bytes = MessageDigest.getInstance("SHA-256").digest(key.secret.toByteArray())
            return KeyDigest(HexFormat.of().formatHex(bytes))
        }
    }
}
