package org.buckthornhub.cli.explain

import org.buckthornhub.cli.ExitCode
import org.buckthornhub.cli.explain.log.LogExplainer
import org.buckthornhub.cli.explain.log.LogExplanationText
import org.buckthornhub.cli.explain.log.LogFile
import org.buckthornhub.cli.operator.OperatorCommand
import org.buckthornhub.explain.ExplainAnswer
import org.buckthornhub.text.UnicodeText
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.io.File
import java.io.IOException
import java.net.URLEncoder

/** Stands for a line that is no text, and is none of a log. */
private const val NO_TEXT = "?"

/** `buckthornhub explain`: shows the routing and errors of requests and the events of a group, from a daemon or from saved logs. */
internal class ExplainCommand : OperatorCommand() {
    @Option(name = "--trace", metaVar = "ID", usage = "trace id from the answer to the request")
    var trace: String? = null

    @Option(name = "--group", metaVar = "NAME", usage = "requests and events of a group")
    var group: String? = null

    @Option(name = "--organisation", metaVar = "NAME", usage = "requests of an organisation that failed")
    var organisation: String? = null

    @Option(name = "--log", metaVar = "FILE", usage = "saved log of one or many daemons to look into, in place of asking a daemon")
    var log: File? = null

    @Argument(metaVar = "ID", usage = "with --log: id of the request, as the caller sent it")
    var request: String? = null

    override val needsDaemon: Boolean get() = log == null

    override val helpText: String = """
        buckthornhub explain --trace ID --daemon HOST:PORT
        buckthornhub explain --group NAME --daemon HOST:PORT
        buckthornhub explain --organisation NAME --daemon HOST:PORT
        buckthornhub explain --log FILE ID

        Says where a request went and why, what it waited for, and why an organisation was refused. Ask the daemon
        that the request came in at: each daemon remembers its newest requests only (explain.records). With --log, the
        request is looked up in lines that daemons wrote: what it got, what the fleet noted around that time, and how many
        others failed alike. Lines of other programs and cut ones are counted and skipped.
    """

    override suspend fun execute(): Int = log?.let { explain(it) } ?: ask()

    private fun explain(file: File): Int {
        val id = request ?: return usageError("name the request: explain --log FILE ID")
        val lines = try {
            // A line that is not UTF-8, such as one that was cut, is counted as skipped.
            file.readLines(Charsets.ISO_8859_1).map { UnicodeText.decode(it.toByteArray(Charsets.ISO_8859_1)) ?: NO_TEXT }
        } catch (e: IOException) {
            return usageError("$file can't be read: ${e.message}")
        }
        val read = LogFile.read(lines.asSequence())
        val found = LogExplainer.explain(read.lines, id)
        LogExplanationText.linesOf(id, found, read.skipped).forEach { println(it) }
        return if (found.own.isEmpty()) ExitCode.REFUSED.code else ExitCode.DONE.code
    }

    private suspend fun ask(): Int = printResult(client.show("explain?${query()}")) { body ->
        ExplainText.linesOf(client.decode(ExplainAnswer.serializer(), body)).joinToString("\n")
    }

    private fun query(): String = listOf("trace" to trace, "group" to group, "organisation" to organisation)
        .mapNotNull { (name, value) -> value?.let { "$name=${URLEncoder.encode(it, Charsets.UTF_8)}" } }
        .joinToString("&")
}
