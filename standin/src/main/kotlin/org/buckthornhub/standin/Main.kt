@file:JvmName("Main")

package org.buckthornhub.standin

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import kotlin.system.exitProcess

private const val EXIT_USAGE = 2

/** Starts a stand-in database group: `standin --group NAME --zones Z1,Z2 --port PORT --announce HOST:PORT`. */
public fun main(arguments: Array<String>) {
    val options = StandinOptions()
    val parser = CmdLineParser(options)
    try {
        parser.parseArgument(*arguments)
    } catch (e: CmdLineException) {
        System.err.println("standin: ${e.message}")
        parser.printUsage(System.err)
        exitProcess(EXIT_USAGE)
    }
    runBlocking {
        coroutineScope {
            GroupAssembly(options, this).start()
            awaitCancellation()
        }
    }
}
