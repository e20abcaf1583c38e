package org.buckthornhub.cli

import org.buckthornhub.cli.explain.ExplainCommand
import org.buckthornhub.cli.load.LoadCommand
import org.buckthornhub.cli.statement.StatementCommand
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.spi.SubCommand
import org.kohsuke.args4j.spi.SubCommandHandler
import org.kohsuke.args4j.spi.SubCommands

/** The command line of `buckthornhub`. */
internal class CommandLine {
    @Argument(required = true, metaVar = "COMMAND", handler = SubCommandHandler::class, usage = "statement, load, explain")
    @SubCommands(
        SubCommand(name = "statement", impl = StatementCommand::class),
        SubCommand(name = "load", impl = LoadCommand::class),
        SubCommand(name = "explain", impl = ExplainCommand::class),
    )
    var command: Command? = null
}
