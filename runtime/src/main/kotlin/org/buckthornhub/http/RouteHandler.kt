package org.buckthornhub.http

/** Handles one HTTP request. */
public fun interface RouteHandler {
    public suspend fun handle(request: HttpRequest): HttpReply
}
