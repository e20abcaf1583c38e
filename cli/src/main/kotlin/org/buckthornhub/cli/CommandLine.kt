package org.buckthornhub.cli

import org.buckthornhub.cli.check.CheckCommand
import org.buckthornhub.cli.evacuation.EvacuationCommand
import org.buckthornhub.cli.explain.ExplainCommand
import org.buckthornhub.cli.grant.GrantCommand
import org.buckthornhub.cli.key.KeyCommand
import org.buckthornhub.cli.load.LoadCommand
import org.buckthornhub.cli.plan.PlanCommand
import org.buckthornhub.cli.primary.PrimaryCommand
import org.buckthornhub.cli.statement.StatementCommand
import org.buckthornhub.cli.status.StatusCommand
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.spi.SubCommand
import org.kohsuke.args4j.spi.SubCommandHandler
import org.kohsuke.args4j.spi.SubCommands

/** Command line of `buckthornhub` with its sub-commands. */
internal class CommandLine {
    @Argument(
        required = true,
        metaVar = "COMMAND",
        handler = SubCommandHandler::class,
        usage = "statement, load, plan, grant, key, primary, evacuation, status, explain, check",
    )
    @SubCommands(
        SubCommand(name = "statement", impl = StatementCommand::class),
        SubCommand(name = "load", impl = LoadCommand::class),
        SubCommand(name = "plan", impl = PlanCommand::class),
        SubCommand(name = "grant", impl = GrantCommand::class),
        SubCommand(name = "key", impl = KeyCommand::class),
        SubCommand(name = "primary", impl = PrimaryCommand::class),
        SubCommand(name = "evacuation", impl = EvacuationCommand::class),
        SubCommand(name = "status", impl = StatusCommand::class),
        SubCommand(name = "explain", impl = ExplainCommand::class),
        SubCommand(name = "check", impl = CheckCommand::class),
    )
    var command: Command? = null
}
