package org.buckthornhub.control

import org.buckthornhub.organisation.KeyRecord

/** Effects requested by [FeedDecider]. */
public sealed interface FeedEffect {
    /** After [delayMillis], request changes after revision [from] from [address]. */
    public data class Fetch(
        val attempt: Long,
        val address: String,
        val from: Long,
        val delayMillis: Long,
    ) : FeedEffect

    /** Store [keyNames] in the file of withdrawn keys, if the daemon has a data folder. */
    public data class SaveWithdrawn(val keyNames: Set<String>) : FeedEffect

    /** Terminate open transactions and calls of callers that use [keys]. */
    public data class KeysWithdrawn(val keys: Set<KeyRecord>) : FeedEffect

    /** Propose these withdrawals to the quorum. */
    public data class RecordWithdrawn(val keyNames: Set<String>) : FeedEffect
}
