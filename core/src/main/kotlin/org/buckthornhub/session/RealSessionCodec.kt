package org.buckthornhub.session

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import java.security.MessageDigest
import java.util.Base64
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** Encodes tokens as `payload.signature`, both in base64url: the session as JSON, and its HMAC-SHA-256 with the fleet secret. */
internal class RealSessionCodec(fleetSecret: String) : SessionCodec {
    private val key = SecretKeySpec(fleetSecret.toByteArray(), ALGORITHM)

    override fun encode(session: Session): String {
        val payload = Json.encodeToString(Session.serializer(), session).toByteArray()
        return encodeBase64(payload) + SEPARATOR + encodeBase64(sign(payload))
    }

    override fun decode(token: String): Result<Session, ProxyError> {
        val parts = token.split(SEPARATOR)
        if (parts.size != 2) return invalid()
        return try {
            val payload = Base64.getUrlDecoder().decode(parts[0])
            val signature = Base64.getUrlDecoder().decode(parts[1])
            if (!MessageDigest.isEqual(signature, sign(payload))) return invalid()
            Ok(Json.decodeFromString(Session.serializer(), payload.decodeToString()))
        } catch (e: SerializationException) {
            invalid()
        } catch (e: IllegalArgumentException) {
            invalid()
        }
    }

    // A Mac is stateful and not thread-safe, so each call creates a new one.
    private fun sign(payload: ByteArray): ByteArray = Mac.getInstance(ALGORITHM).apply { init(key) }.doFinal(payload)

    private fun encodeBase64(bytes: ByteArray): String = Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)

    private fun invalid() = Err(ProxyError(ErrorKind.SESSION_INVALID, "the session token was not issued by this fleet"))

    private companion object {
        const val ALGORITHM = "HmacSHA256"
        const val SEPARATOR = "."
    }
}
