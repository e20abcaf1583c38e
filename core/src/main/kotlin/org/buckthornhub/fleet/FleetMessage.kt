package org.buckthornhub.fleet

import org.buckthornhub.target.TargetEntry

/** What the task that keeps the view of the fleet is told. */
public sealed interface FleetMessage {
    /** A probe period has passed. */
    public data object Tick : FleetMessage

    /** A target announced itself to this daemon, or answered it. */
    public data class Announced(val entry: TargetEntry) : FleetMessage

    /** Another daemon probes this one; the answer goes to [exchange]. */
    public data class Received(
        val body: GossipBody,
        val exchange: Exchange,
    ) : FleetMessage

    /** A probe was answered, directly or through a relay. */
    public data class Acknowledged(val body: GossipBody) : FleetMessage

    /** [vm] did not answer a direct probe in time. */
    public data class ProbeFailed(val vm: VmId) : FleetMessage

    /** No relay reached [vm] either. */
    public data class RelaysFailed(val vm: VmId) : FleetMessage

    /** This daemon is going to stop. */
    public data object Leave : FleetMessage
}
