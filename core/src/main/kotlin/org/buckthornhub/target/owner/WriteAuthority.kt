package org.buckthornhub.target.owner

import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetEntry

/** Says whether this daemon may acknowledge writes of a target. */
public fun interface WriteAuthority {
    /** The term in which writes that [target] executed may be acknowledged at [nowMillis], or null. */
    public fun termOf(target: TargetEntry, nowMillis: Long): Term?

    /** The term in which a new write may start; null as well while the lease is being handed over. */
    public fun termForNewWrite(target: TargetEntry, nowMillis: Long): Term? = termOf(target, nowMillis)
}
