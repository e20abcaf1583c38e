package org.buckthornhub.quota

import org.buckthornhub.organisation.OrganisationId

/** Receives what the rate limit refuses and what becomes of the tokens of the reserve. */
internal interface LimitObserver {
    /** [operations] of [organisation] were refused, the first of them with the announced time [retryAfterMillis]. */
    fun refused(organisation: OrganisationId, operations: Int, retryAfterMillis: Long)

    fun issued(tokens: Int)

    fun returned(tokens: Int)

    fun expired(tokens: Long)

    companion object {
        val NONE: LimitObserver = object : LimitObserver {
            override fun refused(organisation: OrganisationId, operations: Int, retryAfterMillis: Long) = Unit

            override fun issued(tokens: Int) = Unit

            override fun returned(tokens: Int) = Unit

            override fun expired(tokens: Long) = Unit
        }
    }
}
