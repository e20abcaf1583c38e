package org.buckthornhub.http

import kotlinx.serialization.json.Json

/** JSON format of the public interfaces: unknown fields are errors, so that a misspelled field is not silently ignored. */
public val WireJson: Json =
    Json {
        encodeDefaults = true
        explicitNulls = false
        ignoreUnknownKeys = false
    }

/** JSON format between processes of the fleet: unknown fields are ignored, because a newer version may send additional ones. */
public val PeerJson: Json =
    Json(WireJson) {
        ignoreUnknownKeys = true
    }
