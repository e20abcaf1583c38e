package org.buckthornhub.http

import kotlinx.serialization.json.Json

/** The JSON dialect of all our interfaces: unknown fields are faults, so that a misspelled one is not ignored. */
public val WireJson: Json =
    Json {
        encodeDefaults = true
        explicitNulls = false
        ignoreUnknownKeys = false
    }

/** The dialect between our own processes: a newer one may send fields that an older one does not know. */
public val PeerJson: Json =
    Json(WireJson) {
        ignoreUnknownKeys = true
    }
