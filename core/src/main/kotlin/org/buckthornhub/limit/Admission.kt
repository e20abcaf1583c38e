package org.buckthornhub.limit

import com.github.michaelbull.result.Result
import org.buckthornhub.error.ProxyError
import org.buckthornhub.organisation.Grant
import org.buckthornhub.organisation.OrganisationId

/** Decides whether an organisation may run one more statement now. */
public fun interface Admission {
    /** Takes one token; answers how many ms it waited for it, or `RATE_EXCEEDED`. */
    public suspend fun admit(organisation: OrganisationId, grant: Grant, deadlineMillis: Long): Result<Long, ProxyError>
}
