package org.buckthornhub.standin

import org.buckthornhub.standin.instance.InstanceSettings
import org.kohsuke.args4j.Option

/** Command line options of the stand-in, parsed by args4j. */
internal class StandinOptions {
    @Option(name = "--group", required = true, metaVar = "NAME", usage = "name of the database group")
    var group: String = ""

    @Option(name = "--zones", required = true, metaVar = "Z1,Z2,...", usage = "zone of each instance; one instance a zone named")
    var zones: String = ""

    @Option(name = "--port", required = true, metaVar = "PORT", usage = "port of the first instance; the others follow")
    var port: Int = 0

    @Option(
        name = "--announce",
        required = true,
        metaVar = "[ZONE=]HOST:PORT,...",
        usage = "daemons that the instances announce themselves to",
    )
    var announce: String = ""

    @Option(name = "--slots", metaVar = "N", usage = "connections that an instance takes (3)")
    var slots: Int = DEFAULT_SLOTS

    @Option(name = "--connect-ms", metaVar = "MS", usage = "time that a new connection takes in ms (10)")
    var connectMillis: Long = DEFAULT_CONNECT_MILLIS

    @Option(name = "--between-zones-ms", metaVar = "MS", usage = "network delay between zones one way, in ms (0)")
    var betweenZonesMillis: Long = 0

    @Option(name = "--receive-lag-ms", metaVar = "MS", usage = "time until replicas receive an entry, in ms (0)")
    var receiveLagMillis: Long = 0

    @Option(name = "--apply-lag-ms", metaVar = "MS", usage = "time until replicas apply a received entry, in ms (0)")
    var applyLagMillis: Long = 0

    @Option(name = "--idle-ms", metaVar = "MS", usage = "a connection without a request for so long is closed, in ms (3000)")
    var idleMillis: Long = DEFAULT_IDLE_MILLIS

    @Option(name = "--idle-transaction-ms", metaVar = "MS", usage = "the same while a transaction is open, in ms (10000)")
    var idleTransactionMillis: Long = DEFAULT_IDLE_TRANSACTION_MILLIS

    fun settings(): InstanceSettings = InstanceSettings(slots, receiveLagMillis, applyLagMillis, idleMillis, idleTransactionMillis)

    private companion object {
        const val DEFAULT_IDLE_MILLIS = 3_000L
        const val DEFAULT_IDLE_TRANSACTION_MILLIS = 10_000L
        const val DEFAULT_SLOTS = 3
        const val DEFAULT_CONNECT_MILLIS = 10L
    }
}
