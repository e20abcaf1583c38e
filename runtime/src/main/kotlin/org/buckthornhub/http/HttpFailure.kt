package org.buckthornhub.http

/** Why a request got no whole reply; [sent] is false only if it surely did not leave this process. */
public data class HttpFailure(
    val sent: Boolean,
    val detail: String,
)
