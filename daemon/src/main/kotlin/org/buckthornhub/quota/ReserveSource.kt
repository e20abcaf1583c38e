package org.buckthornhub.quota

import org.buckthornhub.coordination.ReserveGrant
import org.buckthornhub.organisation.OrganisationId

/** Source of additional tokens once a daemon has used up its share of a limit. */
internal fun interface ReserveSource {
    /** Returns what was granted of [tokens]; null if there was no answer in time. */
    suspend fun withdraw(organisation: OrganisationId, tokens: Int): ReserveGrant?

    /** Gives back [tokens] that were granted and not used. */
    suspend fun giveBack(organisation: OrganisationId, tokens: Int): Unit = Unit
}
