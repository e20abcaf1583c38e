package org.buckthornhub.quota

import org.buckthornhub.organisation.OrganisationId

/** Where a daemon gets tokens once its own part of a limit is used up. */
internal fun interface ReserveSource {
    /** Answers how many of [tokens] were given; null if nobody answered in time. */
    suspend fun draw(organisation: OrganisationId, tokens: Int): Int?
}
