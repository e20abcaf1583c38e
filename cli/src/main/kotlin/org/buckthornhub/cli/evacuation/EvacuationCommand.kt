package org.buckthornhub.cli.evacuation

import org.buckthornhub.cli.operator.OperatorCommand
import org.buckthornhub.control.EvacuationBody
import org.buckthornhub.http.WireJson
import org.kohsuke.args4j.Argument

/** `buckthornhub evacuation`: starts, ends or shows the evacuation of an availability zone. */
internal class EvacuationCommand : OperatorCommand() {
    @Argument(index = 0, metaVar = "start|end|show", usage = "what to do")
    var action: String = "show"

    @Argument(index = 1, metaVar = "ZONE", usage = "availability zone")
    var zone: String? = null

    override val helpText: String = """
        buckthornhub evacuation start ZONE --daemon HOST:PORT
        buckthornhub evacuation end ZONE --daemon HOST:PORT
        buckthornhub evacuation show ZONE --daemon HOST:PORT

        start has every request served outside the zone: primaries there are replaced, and open transactions are rolled
        back. end revokes that. show says which zones are evacuated. HOST:PORT is the address at which any control VM
        serves operators. Repeating a command changes nothing.
    """

    override suspend fun execute(): Int {
        val wanted = EvacuationAction.entries.firstOrNull { it.name.lowercase() == action }
        val name = zone
        if (wanted == null || name == null) return usageError("evacuation needs: start, end or show, and ZONE")
        return printResult(EvacuationClient(daemon).send(wanted, name)) {
            describe(WireJson.decodeFromString(EvacuationBody.serializer(), it))
        }
    }

    private fun describe(body: EvacuationBody): String {
        val state = "zone ${body.zone} is ${if (body.evacuated) "evacuated" else "not evacuated"}"
        val zones = body.zones ?: return state
        return "$state; evacuated zones: ${zones.joinToString().ifEmpty { "none" }} (change ${body.revision})"
    }
}
