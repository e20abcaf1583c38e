package org.buckthornhub.limit

import org.buckthornhub.fleet.ZoneId

/** What the control leader's ledger of shares is told. */
public sealed interface ShareLedgerMessage {
    /** This VM began to lead the control quorum at [sinceMillis]; nothing of an earlier term is kept. */
    public data class LeadershipBegan(
        val controlTerm: Long,
        val sinceMillis: Long,
    ) : ShareLedgerMessage

    /**
     * A daemon claims shares.
     *
     * @property zones zones that have daemons, which share the limit in equal parts
     * @property replyId given back with the reply
     */
    public data class Requested(
        val replyId: Long,
        val request: ShareRequest,
        val zones: Set<ZoneId>,
    ) : ShareLedgerMessage
}
