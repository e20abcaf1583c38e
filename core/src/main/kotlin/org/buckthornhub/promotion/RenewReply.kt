package org.buckthornhub.promotion

import org.buckthornhub.lease.RenewResponse

/** Completes the renewal request of a daemon. */
public fun interface RenewReply {
    public fun complete(response: RenewResponse)
}
