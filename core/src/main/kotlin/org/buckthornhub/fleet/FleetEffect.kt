package org.buckthornhub.fleet

/** What the membership protocol asks its task to send. */
public sealed interface FleetEffect {
    /** Probes the daemon at [address]; [vm] is null for a seed that is not known yet. */
    public data class Probe(
        val vm: VmId?,
        val address: String,
        val body: GossipBody,
    ) : FleetEffect

    /** Asks the daemons at [relays] to probe [vm] at [address]. */
    public data class ProbeThrough(
        val relays: List<String>,
        val vm: VmId,
        val address: String,
        val body: GossipBody,
    ) : FleetEffect

    /** Answers the probe that came as [exchange]. */
    public data class Reply(
        val exchange: Exchange,
        val body: GossipBody,
    ) : FleetEffect
}
