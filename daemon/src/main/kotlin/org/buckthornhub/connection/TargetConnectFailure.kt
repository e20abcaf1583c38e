package org.buckthornhub.connection

/** No connection to a target came about. */
public data class TargetConnectFailure(val detail: String)
