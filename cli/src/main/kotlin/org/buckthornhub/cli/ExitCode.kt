package org.buckthornhub.cli

/** Exit codes of `buckthornhub`, as docs/OPERATIONS.md lists them. */
internal enum class ExitCode(val code: Int) {
    DONE(0),
    REFUSED(1),
    USAGE(2),
    UNREACHABLE(3),
}
