package org.buckthornhub.limit

import org.buckthornhub.fleet.VmId
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.organisation.OrganisationId

/**
 * One claim and the expected share in the reply.
 *
 * @property atMillis time on the leader's clock
 * @property unleasedMillis expected unleased time in the reply; null if not checked
 */
internal data class LedgerStep(
    val atMillis: Long,
    val zone: String,
    val parts: Int,
    val vm: String = "vm-$zone",
    val epoch: Long = 1,
    val term: Long = 2,
    val held: Int = 0,
    val heldRequestedMillis: Long = 0,
    val zones: Set<String> = setOf("a", "b"),
    val unleasedMillis: Long? = null,
) {
    fun message(): ShareLedgerMessage.SharesRequested {
        val claim = ShareClaim(LEDGER_ORGANISATION, held, heldRequestedMillis)
        val request = ShareRequest(HolderId(VmId(vm), epoch), ZoneId(zone), term, requestedMillis = atMillis, claims = listOf(claim))
        return ShareLedgerMessage.SharesRequested(replyId = atMillis, request = request, zones = zones.map { ZoneId(it) }.toSet())
    }

    companion object {
        val LEDGER_ORGANISATION = OrganisationId("o")
    }
}
