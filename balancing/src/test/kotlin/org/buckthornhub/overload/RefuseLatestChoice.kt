package org.buckthornhub.overload

/** The naive choice: whoever reaches the limit is closed. */
internal object RefuseLatestChoice : ClosingChoice {
    override fun forConnection(connections: Collection<GuardedConnection>, opening: GuardedId): GuardedId? = null

    override fun forBytes(connections: Collection<GuardedConnection>, excessBytes: Long): List<GuardedId> = emptyList()
}
