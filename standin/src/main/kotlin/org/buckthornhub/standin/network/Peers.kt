package org.buckthornhub.standin.network

import org.buckthornhub.standin.instance.InstanceEffect

/** The way from one instance to the others of its group. */
public fun interface Peers {
    /** Delivers the message of [effect]; it may get lost. */
    public fun send(effect: InstanceEffect.Send)
}
