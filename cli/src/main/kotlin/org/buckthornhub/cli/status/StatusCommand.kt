package org.buckthornhub.cli.status

import org.buckthornhub.cli.operator.OperatorCommand
import org.buckthornhub.status.wire.StatusBody

/** `buckthornhub status`: shows one daemon's view of the fleet. */
internal class StatusCommand : OperatorCommand() {
    override val helpText: String = """
        buckthornhub status --daemon HOST:PORT

        status shows the daemons, targets and primaries as the daemon asked believes them, and the leases that it holds
        itself. Daemons on two sides of a partition answer differently; ask one on each side.
    """

    override suspend fun execute(): Int = printResult(client.show("status")) { describe(client.decode(StatusBody.serializer(), it)) }

    private fun describe(status: StatusBody): String {
        val age = status.controlAgeMillis?.let { "$it ms old" } ?: "never confirmed"
        val daemons = status.daemons.map { "daemon\t${it.vm}\t${it.zone}\t${it.address}\t${it.state.name.lowercase()}" }
        val targets =
            status.targets.map { (entry, ageMillis) ->
                "target\t${entry.target}\t${entry.group}\t${entry.zone}\t${entry.role.name.lowercase()} of term ${entry.term.value}\t" +
                    "received ${entry.received.value}\theard $ageMillis ms ago${if (entry.leaving) "\tleaving" else ""}"
            }
        val primaries = status.leaderships.map {
            "primary\t${it.group}\t${it.primary}\tterm ${it.term.value} from position ${it.termStart.value}"
        }
        val leases = status.leases.map { "lease\t${it.group}\tterm ${it.term.value}\tfor another ${it.leftMillis} ms" }
        val promotions = status.promotions.orEmpty().map { "promotion\t${it.group}\t${it.reason}\t${it.step}\t${it.ageMillis} ms" }
        return (listOf("as ${status.vm} believes; control state $age") + daemons + targets + primaries + leases + promotions)
            .joinToString("\n")
    }
}
