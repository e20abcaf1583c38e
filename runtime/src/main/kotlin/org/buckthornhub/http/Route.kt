package org.buckthornhub.http

import io.ktor.http.HttpMethod

/** One route of an HTTP server; [path] may contain `{name}` parameters. */
public class Route(
    public val method: HttpMethod,
    public val path: String,
    public val handler: RouteHandler,
)
