package org.buckthornhub.organisation

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import org.buckthornhub.clock.Clock
import org.buckthornhub.control.ReplicatedView
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.proxy.Chain
import org.buckthornhub.proxy.Interceptor
import org.buckthornhub.proxy.ProxyResponse

/**
 * Refuses requests with a key where too little is known to judge the key.
 *
 * @param refuseAfterMillis without a majority behind the configuration for longer, keys are refused; null serves on
 */
public class RefuseStaleInterceptor(
    private val view: StateSource<ReplicatedView>,
    private val clock: Clock,
    private val refuseAfterMillis: Long?,
) : Interceptor {
    override suspend fun intercept(chain: Chain): Result<ProxyResponse, ProxyError> {
        val refusal = if (chain.call.request.key == null) null else refusalOf(view.current())
        return if (refusal == null) chain.proceed(chain.call) else Err(refusal)
    }

    private fun refusalOf(current: ReplicatedView): ProxyError? {
        if (current.state.revision == 0L && current.freshMillis == 0L) return stale("this daemon has not received the configuration yet")
        val ageMillis = clock.nowMillis() - current.freshMillis
        if (refuseAfterMillis == null || ageMillis <= refuseAfterMillis) return null
        return stale("the configuration is $ageMillis ms old; the limit is $refuseAfterMillis ms")
    }

    private fun stale(detail: String) = ProxyError(ErrorKind.CONFIGURATION_STALE, detail)
}
