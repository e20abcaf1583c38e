package org.buckthornhub.cli

/** A sub-command of `buckthornhub`; args4j sets its options. */
internal interface Command {
    /** Runs the command and returns the exit code. */
    suspend fun run(): Int
}
