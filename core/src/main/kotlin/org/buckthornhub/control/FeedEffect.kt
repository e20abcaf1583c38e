package org.buckthornhub.control

import org.buckthornhub.organisation.KeyRecord

/** What the feed of one daemon wants done. */
public sealed interface FeedEffect {
    /** After [delayMillis], ask [address] for what is newer than [from]. */
    public data class Ask(
        val attempt: Long,
        val address: String,
        val from: Long,
        val delayMillis: Long,
    ) : FeedEffect

    /** Keep the names on disk, if there is one. */
    public data class SaveWithdrawn(val keyNames: Set<String>) : FeedEffect

    /** End what callers with these keys have open. */
    public data class KeysWithdrawn(val keys: Set<KeyRecord>) : FeedEffect

    /** Have the quorum record these withdrawals. */
    public data class RecordWithdrawn(val keyNames: Set<String>) : FeedEffect
}
