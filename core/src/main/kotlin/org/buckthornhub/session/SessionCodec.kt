package org.buckthornhub.session

import com.github.michaelbull.result.Result
import org.buckthornhub.error.ProxyError

/** Turns a session into the opaque token that callers carry, and back. */
public interface SessionCodec {
    public fun encode(session: Session): String

    /** Fails with `SESSION_INVALID` for anything that this fleet did not encode. */
    public fun decode(token: String): Result<Session, ProxyError>
}

/** A codec whose tokens are signed with [fleetSecret], the same on every daemon. */
public fun SessionCodec(fleetSecret: String): SessionCodec = RealSessionCodec(fleetSecret)
