package org.buckthornhub.proxy

/**
 * W3C trace context of a request.
 *
 * @property traceId 32 lower-case hexadecimal digits
 * @property spanId 16 lower-case hexadecimal digits; parent of the spans that the receiver creates
 */
public data class TraceContext(
    val traceId: String,
    val spanId: String,
    val isSampled: Boolean,
) {
    /** Value of the header `traceparent`. */
    public fun toHeader(): String = "$VERSION-$traceId-$spanId-${if (isSampled) "01" else "00"}"

    public companion object {
        private const val VERSION = "00"
        private const val HEXADECIMAL = 16
        private val pattern = Regex("00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})")
        private val zeros = Regex("0+")

        /** Returns null if [header] is missing or not a valid `traceparent`; callers may send invalid ones. */
        public fun parse(header: String?): TraceContext? {
            val (traceId, spanId, flags) = header?.let { pattern.matchEntire(it) }?.destructured ?: return null
            if (zeros.matches(traceId) || zeros.matches(spanId)) return null
            return TraceContext(traceId, spanId, isSampled = flags.toInt(HEXADECIMAL) % 2 == 1)
        }
    }
}
