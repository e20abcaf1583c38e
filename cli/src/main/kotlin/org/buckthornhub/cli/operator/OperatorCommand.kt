package org.buckthornhub.cli.operator

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import org.buckthornhub.cli.Command
import org.buckthornhub.cli.ExitCode
import org.kohsuke.args4j.CmdLineParser
import java.util.UUID

/** What the commands of operators have in common. */
internal abstract class OperatorCommand :
    OperatorOptions(),
    Command {
    protected val client: OperatorClient by lazy { OperatorClient(this) }

    /** Explains the command to someone who has never used it. */
    protected abstract val explanation: String

    /** False for what is done without any daemon. */
    protected open val needsDaemon: Boolean get() = true

    override suspend fun run(): Int {
        if (help) {
            println(explanation.trimIndent())
            println("\nOptions:")
            CmdLineParser(this).printUsage(System.out)
            return ExitCode.DONE.code
        }
        return if (needsDaemon && daemon.isEmpty()) usage("option \"--daemon\" is required") else act()
    }

    protected abstract suspend fun act(): Int

    protected fun newChangeId(): String = changeId ?: UUID.randomUUID().toString()

    protected fun report(result: Result<String, OperatorFailure>, describe: (String) -> String): Int = result.mapBoth(
        success = { body ->
            println(if (json) body else describe(body))
            ExitCode.DONE.code
        },
        failure = { failure ->
            if (json && failure.json != null) println(failure.json) else System.err.println("buckthornhub: ${failure.detail}")
            failure.exitCode.code
        },
    )

    protected fun usage(detail: String): Int {
        System.err.println("buckthornhub: $detail")
        return ExitCode.USAGE.code
    }
}
