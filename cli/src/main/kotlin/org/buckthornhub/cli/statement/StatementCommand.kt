package org.buckthornhub.cli.statement

import com.github.michaelbull.result.mapBoth
import org.buckthornhub.caller.wire.StatementBody
import org.buckthornhub.cli.Command
import org.buckthornhub.cli.ExitCode
import org.buckthornhub.group.GroupId
import org.buckthornhub.http.HttpLinks
import org.buckthornhub.http.WireJson
import org.buckthornhub.statement.Access
import org.buckthornhub.statement.RequestId
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.util.UUID

/** `buckthornhub statement`: runs a single statement as a caller. */
internal class StatementCommand : Command {
    @Option(name = "--daemon", required = true, metaVar = "HOST:PORT", usage = "any daemon of the fleet")
    var daemon: String = ""

    @Option(name = "--key", metaVar = "KEY", usage = "key of the organisation")
    var key: String? = null

    @Option(name = "--group", required = true, metaVar = "NAME", usage = "database group")
    var group: String = ""

    @Option(name = "--write", usage = "the statement writes")
    var write: Boolean = false

    @Option(name = "--session", metaVar = "TOKEN", usage = "session token of an earlier answer")
    var session: String? = null

    @Argument(required = true, metaVar = "TEXT", usage = "the statement")
    var text: String = ""

    override suspend fun run(): Int {
        val body =
            StatementBody(
                group = GroupId(group),
                access = if (write) Access.WRITE else Access.READ,
                text = text,
                requestId = RequestId(UUID.randomUUID().toString()),
                session = session,
            )
        val headers = key?.let { mapOf("Authorization" to "Bearer $it") }.orEmpty()
        val link = HttpLinks.open(daemon)
        val result = link.use {
            it.post("/v1/statements", WireJson.encodeToString(StatementBody.serializer(), body), TIMEOUT_MILLIS, headers)
        }
        return result.mapBoth(
            success = { reply ->
                println(reply.body)
                if (reply.isSuccess) ExitCode.DONE.code else ExitCode.REFUSED.code
            },
            failure = {
                System.err.println("buckthornhub: ${it.detail}")
                ExitCode.UNREACHABLE.code
            },
        )
    }

    private companion object {
        const val TIMEOUT_MILLIS = 10_000L
    }
}
