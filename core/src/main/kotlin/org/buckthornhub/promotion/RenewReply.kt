package org.buckthornhub.promotion

import org.buckthornhub.lease.RenewResponse

/** A daemon that waits for the answer to its renewal. */
public fun interface RenewReply {
    public fun complete(response: RenewResponse)
}
