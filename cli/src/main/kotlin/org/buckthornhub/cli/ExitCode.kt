package org.buckthornhub.cli

/** Exit codes of `buckthornhub`; see docs/OPERATIONS.md. */
internal enum class ExitCode(val code: Int) {
    DONE(0),
    REFUSED(1),
    USAGE(2),
    UNREACHABLE(3),
}
