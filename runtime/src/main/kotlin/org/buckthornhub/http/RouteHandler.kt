package org.buckthornhub.http

/** Answers one HTTP request. */
public fun interface RouteHandler {
    public suspend fun handle(request: HttpRequest): HttpReply
}
