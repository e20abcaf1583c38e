package org.buckthornhub.cli.operator

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import org.buckthornhub.cli.Command
import org.buckthornhub.cli.ExitCode
import org.kohsuke.args4j.CmdLineParser
import java.util.UUID

/** Base class of the commands for operators: help, output and exit codes. */
internal abstract class OperatorCommand :
    OperatorOptions(),
    Command {
    protected val client: OperatorClient by lazy { OperatorClient(this) }

    /** Help text for someone who has never used the command. */
    protected abstract val helpText: String

    /** False if the command contacts no daemon. */
    protected open val needsDaemon: Boolean get() = true

    override suspend fun run(): Int {
        if (help) {
            println(helpText.trimIndent())
            println("\nOptions:")
            CmdLineParser(this).printUsage(System.out)
            return ExitCode.DONE.code
        }
        return if (needsDaemon && daemon.isEmpty()) usageError("option \"--daemon\" is required") else execute()
    }

    protected abstract suspend fun execute(): Int

    protected fun newChangeId(): String = changeId ?: UUID.randomUUID().toString()

    protected fun printResult(result: Result<String, OperatorFailure>, describe: (String) -> String): Int = result.mapBoth(
        success = { body ->
            println(if (json) body else describe(body))
            ExitCode.DONE.code
        },
        failure = { failure ->
            if (json && failure.json != null) println(failure.json) else System.err.println("buckthornhub: ${failure.detail}")
            failure.exitCode.code
        },
    )

    protected fun usageError(detail: String): Int {
        System.err.println("buckthornhub: $detail")
        return ExitCode.USAGE.code
    }
}
