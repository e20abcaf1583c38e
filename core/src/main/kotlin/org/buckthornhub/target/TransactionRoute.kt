package org.buckthornhub.target

import org.buckthornhub.fleet.VmId
import org.buckthornhub.statement.TransactionId
import java.util.Base64

/**
 * Location of an open transaction, which daemons encode in its id. The id is opaque to callers.
 *
 * @property nonce random part that makes the id unguessable
 */
public data class TransactionRoute(
    val nonce: String,
    val target: TargetId,
    val owner: VmId,
) {
    public fun toId(): TransactionId {
        val plain = listOf(nonce, target.value, owner.value).joinToString(SEPARATOR)
        return TransactionId(Base64.getUrlEncoder().withoutPadding().encodeToString(plain.toByteArray()))
    }

    public companion object {
        private const val SEPARATOR = "/"
        private const val PARTS = 3

        /** Decodes [id]; null if it is not in the format that [toId] writes. */
        public fun of(id: TransactionId): TransactionRoute? {
            val parts =
                try {
                    Base64.getUrlDecoder().decode(id.value).decodeToString(throwOnInvalidSequence = true).split(SEPARATOR)
                } catch (e: IllegalArgumentException) {
                    return null
                } catch (e: CharacterCodingException) {
                    return null
                }
            return if (parts.size == PARTS) TransactionRoute(parts[0], TargetId(parts[1]), VmId(parts[2])) else null
        }
    }
}
