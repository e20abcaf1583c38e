package org.buckthornhub.target.owner

import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetEntry

/** Decides whether this daemon may acknowledge writes of a target. */
public fun interface WriteAuthority {
    /** Returns the term in which writes that [target] executed may be acknowledged at [nowMillis]; null if none may. */
    public fun termOf(target: TargetEntry, nowMillis: Long): Term?

    /** Returns the term in which a new write may start; also null while the lease is being handed over. */
    public fun termForNewWrite(target: TargetEntry, nowMillis: Long): Term? = termOf(target, nowMillis)
}
