package org.buckthornhub.overload

/** Chooses the connections that are closed when a limit of the process is reached. */
public interface ClosingChoice {
    /** Returns the connection that makes room for the new connection [opening]; null if [opening] is to be refused. */
    public fun forConnection(connections: Collection<GuardedConnection>, opening: GuardedId): GuardedId?

    /** Returns connections that together free [excessBytes] if there are such, and all that free anything otherwise. */
    public fun forBytes(connections: Collection<GuardedConnection>, excessBytes: Long): List<GuardedId>
}
