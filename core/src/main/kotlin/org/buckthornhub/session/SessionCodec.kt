package org.buckthornhub.session

import com.github.michaelbull.result.Result
import org.buckthornhub.error.ProxyError

/** Encodes a session as the opaque token that callers carry, and decodes it. */
public interface SessionCodec {
    public fun encode(session: Session): String

    /** Fails with `SESSION_INVALID` for a token that was not encoded by this fleet. */
    public fun decode(token: String): Result<Session, ProxyError>
}

/** Creates a codec that signs tokens with [fleetSecret], which is the same on every daemon. */
public fun SessionCodec(fleetSecret: String): SessionCodec = RealSessionCodec(fleetSecret)
