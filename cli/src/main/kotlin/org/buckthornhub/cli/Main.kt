@file:JvmName("Main")

package org.buckthornhub.cli

import kotlinx.coroutines.runBlocking
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import kotlin.system.exitProcess

/** Entry point of the command-line tool for operators and users: `buckthornhub COMMAND`. */
public fun main(arguments: Array<String>) {
    val line = CommandLine()
    val parser = CmdLineParser(line)
    try {
        parser.parseArgument(*arguments)
    } catch (e: CmdLineException) {
        System.err.println("buckthornhub: ${e.message}")
        e.parser.printUsage(System.err)
        exitProcess(ExitCode.USAGE.code)
    }
    exitProcess(runBlocking { checkNotNull(line.command).run() })
}
