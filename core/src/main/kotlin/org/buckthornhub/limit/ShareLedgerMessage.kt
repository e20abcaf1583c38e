package org.buckthornhub.limit

import org.buckthornhub.fleet.ZoneId

/** Messages handled by [ShareLedgerDecider]. */
public sealed interface ShareLedgerMessage {
    /** This VM became leader of the control quorum at [sinceMillis]; the leases of earlier terms are discarded. */
    public data class LeadershipAcquired(
        val controlTerm: Long,
        val sinceMillis: Long,
    ) : ShareLedgerMessage

    /**
     * A daemon claimed shares.
     *
     * @property zones zones with daemons, among which the limit is divided
     * @property replyId correlation id of the reply
     */
    public data class SharesRequested(
        val replyId: Long,
        val request: ShareRequest,
        val zones: Set<ZoneId>,
    ) : ShareLedgerMessage
}
