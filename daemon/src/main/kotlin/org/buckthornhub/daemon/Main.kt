@file:JvmName("Main")

package org.buckthornhub.daemon

import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import org.buckthornhub.http.HttpLinks
import org.buckthornhub.observe.LogSetup
import org.buckthornhub.settings.Settings
import org.buckthornhub.settings.SettingsLoader
import org.buckthornhub.shutdown.StopSignal
import org.buckthornhub.text.UnicodeText
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import java.io.File
import java.io.IOException
import kotlin.system.exitProcess

private const val EXIT_USAGE = 2

/** Starts one daemon: `buckthornhubd --config FILE`. Exits with code 2 if the command line or the settings are invalid. */
public fun main(arguments: Array<String>) {
    val options = parse(arguments)
    val settings = load(options.config)
    if (options.check) return println("${options.config}: settings are valid")
    LogSetup.apply(settings.logFormat)
    // Ktor's own hook would stop the server as soon as a signal arrives; StopSignal stops it after the drain.
    System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
    runBlocking {
        coroutineScope {
            StopSignal(settings.shutdown).install(DaemonAssembly(settings, HttpLinks).start(this))
            awaitCancellation()
        }
    }
}

private fun parse(arguments: Array<String>): DaemonOptions {
    val options = DaemonOptions()
    val parser = CmdLineParser(options)
    try {
        parser.parseArgument(*arguments)
    } catch (e: CmdLineException) {
        System.err.println("buckthornhubd: ${e.message}")
        parser.printUsage(System.err)
        exitProcess(EXIT_USAGE)
    }
    return options
}

private fun load(path: String): Settings {
    val text =
        try {
            UnicodeText.read(File(path))
        } catch (e: IOException) {
            System.err.println("buckthornhubd: $path can't be read: ${e.message}")
            exitProcess(EXIT_USAGE)
        }
    return SettingsLoader().load(text).getOrElse { errors ->
        errors.forEach { System.err.println("buckthornhubd: $path: $it") }
        exitProcess(EXIT_USAGE)
    }
}
