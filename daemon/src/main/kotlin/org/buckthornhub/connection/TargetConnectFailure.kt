package org.buckthornhub.connection

/** Reports that a connection to a target could not be opened. */
public data class TargetConnectFailure(val detail: String)
