package org.buckthornhub.target

import org.buckthornhub.fleet.VmId
import org.buckthornhub.statement.TransactionId
import java.util.Base64

/**
 * Where a transaction is open: what its id says to daemons. Callers see an opaque word.
 *
 * @property nonce random part, which can't be guessed
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

        /** Null if [id] was not made by this fleet. */
        public fun of(id: TransactionId): TransactionRoute? {
            val parts =
                try {
                    Base64.getUrlDecoder().decode(id.value).decodeToString().split(SEPARATOR)
                } catch (e: IllegalArgumentException) {
                    return null
                }
            return if (parts.size == PARTS) TransactionRoute(parts[0], TargetId(parts[1]), VmId(parts[2])) else null
        }
    }
}
