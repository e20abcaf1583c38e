package org.buckthornhub.shutdown

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull

/** Turns SIGTERM and SIGINT into a planned stop: exit code 0 once it is done, 1 if it took too long. */
internal class StopSignal(private val timing: ShutdownTiming) {
    fun install(daemon: RunningDaemon) {
        Runtime.getRuntime().addShutdownHook(Thread({ stop(daemon) }, "shutdown"))
    }

    private fun stop(daemon: RunningDaemon) {
        val limitMillis = timing.leaveMillis + timing.drainMillis + 2 * timing.handoverMillis + MARGIN_MILLIS
        val done = runBlocking { withTimeoutOrNull(limitMillis) { daemon.stop() } }
        // A hook can't choose the exit code of a process that a signal ends, so it ends the process itself.
        Runtime.getRuntime().halt(if (done == null) 1 else 0)
    }

    private companion object {
        const val MARGIN_MILLIS = 2_000L
    }
}
