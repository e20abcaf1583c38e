package org.buckthornhub.cli.operator

import org.kohsuke.args4j.Option

/** Options common to all commands for operators, set by args4j. */
internal open class OperatorOptions {
    @Option(name = "--daemon", metaVar = "HOST:PORT", usage = "any daemon of the fleet that you can reach")
    var daemon: String = ""

    @Option(name = "--secret", metaVar = "SECRET", usage = "operators' secret; default: environment variable BUCKTHORNHUB_OPERATOR_SECRET")
    var secret: String? = null

    @Option(name = "--json", usage = "print JSON, for programs")
    var json: Boolean = false

    @Option(
        name = "--change-id",
        metaVar = "ID",
        usage = "id of the change; give the same one again after a lost answer, it is applied once",
    )
    var changeId: String? = null

    @Option(name = "--help", help = true, usage = "explain the command")
    var help: Boolean = false
}
