package org.buckthornhub.daemon

import org.kohsuke.args4j.Option

/** Command-line options of `buckthornhubd`, set by args4j. */
internal class DaemonOptions {
    @Option(name = "--config", required = true, metaVar = "FILE", usage = "settings file in TOML")
    var config: String = ""

    @Option(name = "--check", usage = "check the settings and exit")
    var check: Boolean = false
}
