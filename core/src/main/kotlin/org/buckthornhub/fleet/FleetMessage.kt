package org.buckthornhub.fleet

import org.buckthornhub.target.TargetEntry

/** Messages handled by [FleetDecider]. */
public sealed interface FleetMessage {
    /** A probe period has passed. */
    public data object Tick : FleetMessage

    /** A target announced itself to this daemon, or answered a request of it. */
    public data class Announced(val entry: TargetEntry) : FleetMessage

    /** A probe from another daemon arrived; it is acknowledged through [exchange]. */
    public data class Received(
        val body: GossipBody,
        val exchange: ReceivedProbe,
    ) : FleetMessage

    /** A probe was acknowledged, directly or through a relay. */
    public data class Acknowledged(val body: GossipBody) : FleetMessage

    /** [vm] did not acknowledge a direct probe in time. */
    public data class ProbeFailed(val vm: VmId) : FleetMessage

    /** The indirect probes of [vm] failed as well. */
    public data class IndirectProbesFailed(val vm: VmId) : FleetMessage

    /** This daemon is shutting down. */
    public data object Leave : FleetMessage
}
