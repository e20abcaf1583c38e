package org.buckthornhub.cli.explain

import org.buckthornhub.cli.operator.OperatorCommand
import org.buckthornhub.explain.ExplainAnswer
import org.kohsuke.args4j.Option
import java.net.URLEncoder

/** `buckthornhub explain`: says why requests went where they did, why one was refused, and what happened to a group. */
internal class ExplainCommand : OperatorCommand() {
    @Option(name = "--trace", metaVar = "ID", usage = "trace id from the answer to the request")
    var trace: String? = null

    @Option(name = "--group", metaVar = "NAME", usage = "requests and events of a group")
    var group: String? = null

    @Option(name = "--organisation", metaVar = "NAME", usage = "requests of an organisation that failed")
    var organisation: String? = null

    override val explanation: String = """
        buckthornhub explain --trace ID --daemon HOST:PORT
        buckthornhub explain --group NAME --daemon HOST:PORT
        buckthornhub explain --organisation NAME --daemon HOST:PORT

        Says where a request went and why, what it waited for, and why an organisation was refused. Ask the daemon
        that the request came in at: each daemon remembers its newest requests only (explain.records).
    """

    override suspend fun act(): Int = report(client.show("explain?${query()}")) { body ->
        ExplainText.linesOf(client.decode(ExplainAnswer.serializer(), body)).joinToString("\n")
    }

    private fun query(): String = listOf("trace" to trace, "group" to group, "organisation" to organisation)
        .mapNotNull { (name, value) -> value?.let { "$name=${URLEncoder.encode(it, Charsets.UTF_8)}" } }
        .joinToString("&")
}
