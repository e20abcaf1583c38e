package org.buckthornhub.http

import io.ktor.http.HttpMethod

/** One route of an HTTP server; [path] may hold `{name}` parts. */
public class Route(
    public val method: HttpMethod,
    public val path: String,
    public val handler: RouteHandler,
)
