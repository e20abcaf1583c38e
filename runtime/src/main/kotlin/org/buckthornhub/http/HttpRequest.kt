package org.buckthornhub.http

/** A fully received HTTP request; header names are in lower case. */
public data class HttpRequest(
    val method: String,
    val path: String,
    val pathParts: Map<String, String>,
    val query: Map<String, String>,
    val headers: Map<String, String>,
    val body: String,
)
