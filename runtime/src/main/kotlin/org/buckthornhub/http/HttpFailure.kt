package org.buckthornhub.http

/** Failure of a request without a complete reply; [sent] is false only if no byte of the request can have left this process. */
public data class HttpFailure(
    val sent: Boolean,
    val detail: String,
)
