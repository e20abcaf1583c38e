package org.buckthornhub.target.owner

import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetEntry

/** Says whether this daemon may acknowledge writes of a target. */
public fun interface WriteAuthority {
    /** The term in which writes that [target] executed may be acknowledged at [nowMillis], or null. */
    public fun termOf(target: TargetEntry, nowMillis: Long): Term?
}
