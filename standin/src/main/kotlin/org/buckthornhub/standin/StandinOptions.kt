package org.buckthornhub.standin

import org.kohsuke.args4j.Option

/** Command line of the stand-in; args4j fills it. */
internal class StandinOptions {
    @Option(name = "--group", required = true, metaVar = "NAME", usage = "name of the database group")
    var group: String = ""

    @Option(name = "--zones", required = true, metaVar = "Z1,Z2,...", usage = "zone of each instance; one instance a zone named")
    var zones: String = ""

    @Option(name = "--port", required = true, metaVar = "PORT", usage = "port of the first instance; the others follow")
    var port: Int = 0

    @Option(name = "--announce", required = true, metaVar = "HOST:PORT,...", usage = "daemons that the instances announce themselves to")
    var announce: String = ""

    @Option(name = "--slots", metaVar = "N", usage = "connections that an instance takes (3)")
    var slots: Int = DEFAULT_SLOTS

    @Option(name = "--connect-ms", metaVar = "MS", usage = "time that a new connection takes in ms (10)")
    var connectMillis: Long = DEFAULT_CONNECT_MILLIS

    private companion object {
        const val DEFAULT_SLOTS = 3
        const val DEFAULT_CONNECT_MILLIS = 10L
    }
}
