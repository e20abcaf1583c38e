package org.buckthornhub.promotion

import com.github.michaelbull.result.Result
import org.buckthornhub.error.ProxyError
import org.buckthornhub.group.GroupLeadership

/** Completes the request of an operator for a switchover. */
public fun interface MoveReply {
    public fun complete(result: Result<GroupLeadership, ProxyError>)
}
