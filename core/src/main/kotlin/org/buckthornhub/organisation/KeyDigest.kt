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
        /** Throws an [IllegalArgumentException] if [key] is no Unicode text, so that no bytes stand for it. */
        public fun of(key: ApiKey): KeyDigest {
            val text =
                try {
                    key.secret.encodeToByteArray(throwOnInvalidSequence = true)
                } catch (e: CharacterCodingException) {
                    throw IllegalArgumentException("a key is no Unicode text", e)
                }
            val bytes = MessageDigest.getInstance("SHA-256").digest(text)
            return KeyDigest(HexFormat.of().formatHex(bytes))
        }
    }
}
