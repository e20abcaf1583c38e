package org.buckthornhub.caller

import org.buckthornhub.proxy.TraceContext
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals

/** Which traces of callers are continued; every request has a valid trace context. */
internal class TraceContextsTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `a valid trace is continued with a new span`(case: TraceCase) {
        val caller = TraceContext.parse(case.header)
        val next = TraceContexts(samplePercent = 0, random = Random(1)).next(caller)
        assertEquals(case.isContinued, next.traceId == TRACE)
        assertEquals(case.isSampled, next.isSampled)
        assertNotEquals(SPAN, next.spanId)
        assertEquals(next, TraceContext.parse(next.toHeader()))
    }

    private companion object {
        const val TRACE = "4bf92f3577b34da6a3ce929d0e0e4736"
        const val SPAN = "00f067aa0ba902b7"

        @JvmStatic
        fun cases(): List<TraceCase> = listOf(
            TraceCase("00-$TRACE-$SPAN-01", isContinued = true, isSampled = true),
            TraceCase("00-$TRACE-$SPAN-00", isContinued = true),
            TraceCase("00-$TRACE-$SPAN-03", isContinued = true, isSampled = true),
            TraceCase(null, isContinued = false),
            TraceCase("", isContinued = false),
            TraceCase("00-${TRACE.uppercase()}-$SPAN-01", isContinued = false),
            TraceCase("00-${"0".repeat(32)}-$SPAN-01", isContinued = false),
            TraceCase("00-$TRACE-${"0".repeat(16)}-01", isContinued = false),
            TraceCase("00-$TRACE-$SPAN-01-extra", isContinued = false),
        )
    }
}
