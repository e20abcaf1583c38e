package org.buckthornhub.organisation

import kotlinx.serialization.Serializable
import org.buckthornhub.fleet.ZoneId

/**
 * Where a withdrawal is in force.
 *
 * @property recorded true once the control quorum has it; until then every daemon that has it goes on telling the quorum
 * @property unconfirmedZones zones with a daemon that has not confirmed
 */
@Serializable
internal data class WithdrawalReport(
    val keyName: String,
    val recorded: Boolean,
    val detail: String? = null,
    val confirmed: List<DaemonName>,
    val unconfirmed: List<DaemonName>,
    val unconfirmedZones: List<ZoneId>,
)
