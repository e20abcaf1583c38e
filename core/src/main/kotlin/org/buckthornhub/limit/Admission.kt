package org.buckthornhub.limit

import com.github.michaelbull.result.Result
import org.buckthornhub.error.ProxyError
import org.buckthornhub.organisation.Grant
import org.buckthornhub.organisation.OrganisationId

/** Rate limiter of the request path: admits or refuses the statements of an organisation. */
public fun interface Admission {
    /**
     * Takes one token, waiting for it if need be, until [deadlineMillis] (local monotonic time) at the latest.
     *
     * Returns the time waited in ms, or `RATE_EXCEEDED` if no token was available.
     */
    public suspend fun admit(organisation: OrganisationId, grant: Grant, deadlineMillis: Long): Result<Long, ProxyError>
}
