package org.buckthornhub.cli

/** One sub-command of `buckthornhub`; args4j fills its options. */
internal interface Command {
    /** Runs it and answers the exit code. */
    suspend fun run(): Int
}
