package org.buckthornhub.shutdown

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull

/** Runs a graceful shutdown on SIGTERM and SIGINT; the exit code is 0 if it completes in time, else 1. */
internal class StopSignal(private val timing: ShutdownTiming) {
    fun install(daemon: RunningDaemon) {
        Runtime.getRuntime().addShutdownHook(Thread({ stop(daemon) }, "shutdown"))
    }

    private fun stop(daemon: RunningDaemon) {
        val limitMillis = timing.leaveMillis + timing.drainMillis + 2 * timing.handoverMillis + MARGIN_MILLIS
        val done = runBlocking { withTimeoutOrNull(limitMillis) { daemon.stop() } }
        // The JVM sets the exit code of a process that a signal stops; halting here is the only way to choose it.
        Runtime.getRuntime().halt(if (done == null) 1 else 0)
    }

    private companion object {
        const val MARGIN_MILLIS = 2_000L
    }
}
