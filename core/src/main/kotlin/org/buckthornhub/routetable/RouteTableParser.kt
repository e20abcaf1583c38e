package org.buckthornhub.routetable

import com.github.michaelbull.result.Result

/** Parses and validates documents in the format of a front end. */
public fun interface RouteTableParser {
    /** Returns the table of [document], or all errors if it is invalid. */
    public fun parse(document: String): Result<StoredRouteTable, List<String>>
}
