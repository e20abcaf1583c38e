package org.buckthornhub.cli.load

import org.buckthornhub.cli.Command
import org.buckthornhub.cli.ExitCode
import org.buckthornhub.clock.SystemClock
import org.buckthornhub.http.HttpLinks
import org.buckthornhub.load.check.Evidence
import org.buckthornhub.load.check.Findings
import org.buckthornhub.load.report.HtmlReport
import org.buckthornhub.load.report.Summarizer
import org.buckthornhub.load.report.Summary
import org.buckthornhub.load.run.LoadRun
import org.kohsuke.args4j.Option
import java.io.File

/** `buckthornhub load`: runs a bounded load on a fleet, and checks the responses against the guarantees. */
internal class LoadCommand : Command {
    @Option(name = "--daemons", required = true, metaVar = "HOST:PORT,...", usage = "daemons that the sessions roam over")
    var daemons: String = ""

    @Option(name = "--keys", metaVar = "ORG=KEY,...", usage = "key of each organisation")
    var keys: String = ""

    @Option(name = "--groups", required = true, metaVar = "NAME,...", usage = "database groups")
    var groups: String = ""

    @Option(name = "--sessions", metaVar = "N", usage = "sessions of each organisation (4)")
    var sessions: Int = DEFAULT_SESSIONS

    @Option(name = "--offered", metaVar = "ORG=PER_SECOND,...", usage = "statements a second that an organisation sends (20)")
    var offered: String = ""

    @Option(name = "--rights", metaVar = "ORG=RATE/BURST,...", usage = "what the plan of an organisation allows; wrongful refusals need it")
    var rights: String = ""

    @Option(name = "--read-share", metaVar = "SHARE", usage = "part of the statements that read, from 0 to 1 (0.7)")
    var readShare: Double = DEFAULT_READ_SHARE

    @Option(name = "--transaction-share", metaVar = "SHARE", usage = "part of the writes that are transactions, from 0 to 1 (0)")
    var transactionShare: Double = 0.0

    @Option(name = "--accepted-ages", metaVar = "MS,...", usage = "ages that reads of other sessions' data accept (none)")
    var acceptedAges: String = ""

    @Option(name = "--duration-ms", metaVar = "MS", usage = "length of the run (10000)")
    var durationMillis: Long = DEFAULT_DURATION_MILLIS

    @Option(name = "--warm-up-ms", metaVar = "MS", usage = "latencies are taken after so long; all else counts from the start (0)")
    var warmUpMillis: Long = 0

    @Option(name = "--seed", metaVar = "N", usage = "seed of every random choice (1)")
    var seed: Long = 1

    @Option(name = "--client-delay-ms", metaVar = "MS", usage = "network delay between clients and daemons one way (3)")
    var clientDelayMillis: Long = DEFAULT_CLIENT_DELAY_MILLIS

    @Option(name = "--stand-ins", metaVar = "HOST:PORT/INSTANCES,...", usage = "stand-in groups whose logs are checked")
    var standIns: String = ""

    @Option(name = "--run", metaVar = "NAME", usage = "part of every request id; has to be new for each run (the time)")
    var runName: String = SystemClock.wallMillis().toString(RADIX)

    @Option(name = "--faults", metaVar = "FILE", usage = "faults to cause on the way, a JSON list; see docs/design/stand-in-and-load.md")
    var faults: String? = null

    @Option(name = "--direct", usage = "the addresses are stand-in instances: measures without the proxy")
    var direct: Boolean = false

    @Option(name = "--report", metaVar = "FILE", usage = "writes a page with plots, in HTML")
    var report: String? = null

    @Option(name = "--json", usage = "prints the figures as one line of JSON")
    var json: Boolean = false

    override suspend fun run(): Int {
        val plan =
            try {
                LoadPlanReader(this).read()
            } catch (e: IllegalArgumentException) {
                System.err.println("buckthornhub load: ${e.message}")
                return ExitCode.USAGE.code
            }
        val evidence = LoadRun(plan, HttpLinks, SystemClock) { System.err.println("load: $it") }.run()
        val findings = Findings.of(evidence)
        val summary = Summarizer(warmUpMillis).summarize(evidence, findings)
        report?.let { File(it).writeText(HtmlReport().render(evidence, summary)) }
        print(evidence, findings, summary)
        return if (findings.isCorrect) ExitCode.DONE.code else ExitCode.REFUSED.code
    }

    private fun print(evidence: Evidence, findings: Findings, summary: Summary) {
        findings.bySort().forEach { (kind, violations) ->
            if (violations.isNotEmpty()) System.err.println("load: ${violations.size} $kind, first: ${violations.first().detail}")
        }
        val line = summary.toLine()
        println(if (json) line else "${evidence.history.attempts.size} attempts\n$line")
    }

    private companion object {
        const val RADIX = 36
        const val DEFAULT_SESSIONS = 4
        const val DEFAULT_READ_SHARE = 0.7
        const val DEFAULT_DURATION_MILLIS = 10_000L
        const val DEFAULT_CLIENT_DELAY_MILLIS = 3L
    }
}
