package org.buckthornhub.organisation

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.getError
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.test.runTest
import org.buckthornhub.clock.Clock
import org.buckthornhub.control.ReplicatedView
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.group.GroupId
import org.buckthornhub.proxy.Interceptor
import org.buckthornhub.proxy.Proxy
import org.buckthornhub.proxy.ProxyRequest
import org.buckthornhub.statement.Operation
import org.buckthornhub.statement.RequestId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

internal class RefuseStaleInterceptorTest {
    private val clock =
        object : Clock {
            override fun nowMillis() = 10_000L

            override fun wallMillis() = 0L
        }

    // Error of every request that the interceptor lets through.
    private val passed = Interceptor { Err(ProxyError(ErrorKind.NO_TARGET, "passed")) }

    @ParameterizedTest
    @MethodSource("cases")
    fun `a request passes or is refused as expected`(case: StaleCase) = runTest {
        val stale = RefuseStaleInterceptor({ ReplicatedView(freshMillis = case.freshMillis) }, clock, case.refuseAfterMillis)
        val request = ProxyRequest(case.key, sessionToken = null, Operation.Begin(GroupId("g")), RequestId("r"), deadlineMillis = 20_000)
        assertEquals(case.error ?: ErrorKind.NO_TARGET, Proxy(persistentListOf(stale, passed)).execute(request).getError()?.kind)
    }

    private companion object {
        @JvmStatic
        fun cases(): List<StaleCase> = listOf(
            StaleCase("no maximum age", freshMillis = 1, refuseAfterMillis = null),
            StaleCase(
                "no maximum age, but no configuration was received",
                freshMillis = null,
                refuseAfterMillis = null,
                error = ErrorKind.CONFIGURATION_STALE,
            ),
            StaleCase("at the maximum age", freshMillis = 5_000, refuseAfterMillis = 5_000),
            StaleCase("above the maximum age", freshMillis = 4_999, refuseAfterMillis = 5_000, error = ErrorKind.CONFIGURATION_STALE),
            StaleCase("confirmed in the future", freshMillis = 10_001, refuseAfterMillis = 5_000, error = ErrorKind.CONFIGURATION_STALE),
            StaleCase("confirmed before the local clock started", freshMillis = -1, refuseAfterMillis = null),
            StaleCase("a request without a key", freshMillis = null, refuseAfterMillis = 5_000, key = null),
        )
    }
}
