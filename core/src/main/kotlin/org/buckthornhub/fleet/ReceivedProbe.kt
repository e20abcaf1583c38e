package org.buckthornhub.fleet

/** A received probe that has to be acknowledged. */
public fun interface ReceivedProbe {
    /** Sends [body] as the acknowledgement. */
    public fun complete(body: GossipBody)
}
