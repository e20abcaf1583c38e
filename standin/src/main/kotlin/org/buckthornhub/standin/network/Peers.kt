package org.buckthornhub.standin.network

import org.buckthornhub.standin.instance.InstanceEffect

/** Sends messages from one instance to the others of its group. */
public fun interface Peers {
    /** Sends the message of [effect]; it may be lost. */
    public fun send(effect: InstanceEffect.Send)
}
