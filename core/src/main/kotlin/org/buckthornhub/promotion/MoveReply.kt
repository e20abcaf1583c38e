package org.buckthornhub.promotion

import com.github.michaelbull.result.Result
import org.buckthornhub.error.ProxyError
import org.buckthornhub.group.GroupLeadership

/** An operator who waits for a planned change. */
public fun interface MoveReply {
    public fun complete(result: Result<GroupLeadership, ProxyError>)
}
