package org.buckthornhub.fleet

/** Effects requested by [FleetDecider]. */
public sealed interface FleetEffect {
    /** Probe the daemon at [address]; [vm] is null for a seed whose VM is not known yet. */
    public data class Probe(
        val vm: VmId?,
        val address: String,
        val body: GossipBody,
    ) : FleetEffect

    /** Request indirect probes of [vm] at [address] from the daemons at [relays]. */
    public data class ProbeIndirectly(
        val relays: List<String>,
        val vm: VmId,
        val address: String,
        val body: GossipBody,
    ) : FleetEffect

    /** Acknowledge the probe [exchange] with [body]. */
    public data class Reply(
        val exchange: ReceivedProbe,
        val body: GossipBody,
    ) : FleetEffect
}
