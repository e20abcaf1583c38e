package org.buckthornhub.cli.explain

import com.github.michaelbull.result.mapBoth
import org.buckthornhub.cli.Command
import org.buckthornhub.cli.ExitCode
import org.buckthornhub.explain.ExplainAnswer
import org.buckthornhub.http.HttpLinks
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.PeerJson
import org.kohsuke.args4j.Option
import java.net.URLEncoder

/** `buckthornhub explain`: says why requests went where they did, why one was refused, and what happened to a group. */
internal class ExplainCommand : Command {
    @Option(name = "--daemon", required = true, metaVar = "HOST:PORT", usage = "the daemon that the request came in at")
    var daemon: String = ""

    @Option(name = "--operator-secret", required = true, metaVar = "SECRET", usage = "operator.secret of the fleet")
    var operatorSecret: String = ""

    @Option(name = "--trace", metaVar = "ID", usage = "trace id from the answer to the request")
    var trace: String? = null

    @Option(name = "--group", metaVar = "NAME", usage = "requests and events of a group")
    var group: String? = null

    @Option(name = "--organisation", metaVar = "NAME", usage = "requests of an organisation that failed")
    var organisation: String? = null

    @Option(name = "--json", usage = "print the answer as JSON")
    var json: Boolean = false

    override suspend fun run(): Int {
        val headers = mapOf("Authorization" to "Bearer $operatorSecret")
        val result = HttpLinks.open(daemon).use { it.get("/v1/operator/explain?${query()}", TIMEOUT_MILLIS, headers) }
        return result.mapBoth(
            success = { show(it) },
            failure = {
                System.err.println("buckthornhub: ${it.detail}")
                ExitCode.UNREACHABLE.code
            },
        )
    }

    private fun query(): String = listOf("trace" to trace, "group" to group, "organisation" to organisation)
        .mapNotNull { (name, value) -> value?.let { "$name=${URLEncoder.encode(it, Charsets.UTF_8)}" } }
        .joinToString("&")

    private fun show(reply: HttpReply): Int {
        if (!reply.isSuccess || json) {
            println(reply.body)
            return if (reply.isSuccess) ExitCode.DONE.code else ExitCode.REFUSED.code
        }
        ExplainText.linesOf(PeerJson.decodeFromString(ExplainAnswer.serializer(), reply.body)).forEach { println(it) }
        return ExitCode.DONE.code
    }

    private companion object {
        const val TIMEOUT_MILLIS = 10_000L
    }
}
