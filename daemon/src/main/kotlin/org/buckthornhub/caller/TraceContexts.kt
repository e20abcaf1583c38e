package org.buckthornhub.caller

import org.buckthornhub.proxy.TraceContext
import kotlin.random.Random

/** Creates the trace context of each request: a child span of the caller's trace, or a new trace. */
internal class TraceContexts(
    private val samplePercent: Int,
    private val random: Random = Random.Default,
) {
    fun next(caller: TraceContext?): TraceContext = TraceContext(
        traceId = caller?.traceId ?: hexadecimal(TRACE_DIGITS),
        spanId = hexadecimal(SPAN_DIGITS),
        isSampled = caller?.isSampled ?: (random.nextInt(HUNDRED_PERCENT) < samplePercent),
    )

    // An id of all zeros is invalid, so the last digit is never zero.
    private fun hexadecimal(digits: Int): String = String(
        CharArray(digits) { index ->
            DIGITS[
                if (index ==
                    digits - 1
                ) {
                    random.nextInt(1, DIGITS.length)
                } else {
                    random.nextInt(DIGITS.length)
                },
            ]
        },
    )

    private companion object {
        const val DIGITS = "0123456789abcdef"
        const val TRACE_DIGITS = 32
        const val SPAN_DIGITS = 16
        const val HUNDRED_PERCENT = 100
    }
}
