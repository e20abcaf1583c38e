package org.buckthornhub.standin.network

import org.buckthornhub.standin.instance.InstanceMessage
import org.buckthornhub.target.TargetId

/** The way from one instance to the others of its group. */
public fun interface Peers {
    /** Sends [message] to [to], or to all others if it is null; it may get lost. */
    public fun send(to: TargetId?, message: InstanceMessage)
}
