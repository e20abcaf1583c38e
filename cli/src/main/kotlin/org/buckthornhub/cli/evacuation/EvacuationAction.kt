package org.buckthornhub.cli.evacuation

/** What `buckthornhub evacuation` does, with the HTTP method that asks for it. */
internal enum class EvacuationAction(val method: String) {
    START("PUT"),
    END("DELETE"),
    SHOW("GET"),
}
