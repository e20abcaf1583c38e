package org.buckthornhub.cli.check

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import org.buckthornhub.cli.Command
import org.buckthornhub.cli.ExitCode
import org.buckthornhub.http.HttpLinks
import org.buckthornhub.routetable.review.RouteTableReader
import org.buckthornhub.text.UnicodeText
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import java.io.File
import java.io.IOException
import java.util.ServiceLoader

/** `buckthornhub check`: checks a configuration document before it is sent, and changes nothing. */
internal class CheckCommand : Command {
    @Argument(index = 0, metaVar = "FILE", usage = "the configuration document to check")
    var file: String? = null

    @Option(name = "--against", metaVar = "FILE", usage = "the document in force, to list what changes")
    var against: String? = null

    @Option(name = "--control", metaVar = "HOST:PORT", usage = "control VM that the document in force is read from")
    var control: String? = null

    @Option(name = "--json", usage = "print the findings as JSON")
    var json: Boolean = false

    @Option(name = "--help", usage = "explain this command")
    var help: Boolean = false

    override suspend fun run(): Int {
        if (help) return printHelp()
        val name = file ?: return fail("check needs a FILE", ExitCode.USAGE)
        val reader = ServiceLoader.load(RouteTableReader::class.java).firstOrNull()
            ?: return fail("no reader for configuration documents is installed", ExitCode.USAGE)
        val document = readFile(name).getOrElse { return fail(it, ExitCode.USAGE) }
        val inForce = inForce(reader).getOrElse { return fail(it, ExitCode.UNREACHABLE) }
        val table = inForce?.let { reader.read(it).draft?.table ?: return fail("the document in force can't be read", ExitCode.USAGE) }
        val report = CheckReport(name, reader.read(document), table)
        println(if (json) report.json() else report.text())
        return report.exitCode.code
    }

    private suspend fun inForce(reader: RouteTableReader): Result<String?, String> {
        against?.let { return readFile(it) }
        val address = control ?: return Ok(null)
        val link = HttpLinks.open(address)
        val reply = link.get(reader.path, TIMEOUT_MILLIS, emptyMap()).getOrElse { return Err(it.detail) }
        link.close()
        return if (reply.isSuccess) Ok(reply.body) else Err("$address answered with status ${reply.status}; ask another control VM")
    }

    private fun readFile(path: String): Result<String, String> = try {
        Ok(UnicodeText.read(File(path)))
    } catch (e: IOException) {
        Err("$path can't be read: ${e.message}")
    }

    private fun printHelp(): Int {
        println(
            """
            buckthornhub check FILE [--against FILE | --control HOST:PORT] [--json]

            Checks a configuration document before it is sent: errors for which it would be refused, entries that no request
            can match, limits that contradict each other, and what differs from the document in force. Nothing is sent.
            Exit codes: 0 no error (there may be warnings), 1 it would be refused, 2 usage, 3 the control VM can't be reached.
            """.trimIndent(),
        )
        CmdLineParser(this).printUsage(System.out)
        return ExitCode.DONE.code
    }

    private fun fail(detail: String, code: ExitCode): Int {
        System.err.println("buckthornhub: $detail")
        return code.code
    }

    private companion object {
        const val TIMEOUT_MILLIS = 3_000L
    }
}
