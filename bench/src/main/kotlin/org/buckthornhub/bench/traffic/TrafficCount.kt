package org.buckthornhub.bench.traffic

/** Bytes and requests that links have carried, HTTP headers not counted. */
internal data class TrafficCount(
    val requests: Long = 0,
    val bytes: Long = 0,
) {
    operator fun plus(other: TrafficCount): TrafficCount = TrafficCount(requests + other.requests, bytes + other.bytes)

    operator fun minus(other: TrafficCount): TrafficCount = TrafficCount(requests - other.requests, bytes - other.bytes)
}
