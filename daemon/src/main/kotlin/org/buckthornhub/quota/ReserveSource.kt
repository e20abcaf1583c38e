package org.buckthornhub.quota

import org.buckthornhub.organisation.OrganisationId

/** Source of additional tokens once a daemon has used up its share of a limit. */
internal fun interface ReserveSource {
    /** Returns how many of [tokens] were granted; null if there was no answer in time. */
    suspend fun withdraw(organisation: OrganisationId, tokens: Int): Int?
}
