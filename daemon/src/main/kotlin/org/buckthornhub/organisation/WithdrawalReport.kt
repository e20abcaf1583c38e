package org.buckthornhub.organisation

import kotlinx.serialization.Serializable
import org.buckthornhub.fleet.ZoneId

/**
 * Result of a withdrawal: which daemons refuse the key.
 *
 * @property recorded true once the control quorum has recorded it; until then each daemon that knows of it keeps submitting it
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
