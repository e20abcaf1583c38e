package org.buckthornhub.fleet

/** One probe that waits for its acknowledgement. */
public fun interface Exchange {
    public fun complete(body: GossipBody)
}
