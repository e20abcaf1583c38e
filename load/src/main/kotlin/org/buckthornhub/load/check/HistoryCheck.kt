package org.buckthornhub.load.check

/** Looks for broken promises of one sort. It knows nothing of the proxy. */
public fun interface HistoryCheck {
    public fun violations(evidence: Evidence): List<Violation>
}
