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
 * Refuses requests with a key while the configuration is too old to validate the key.
 *
 * @param refuseAfterMillis maximum age in ms of the last confirmation of the configuration by a majority; null for no maximum
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
        // The state of a control VM after a restart may be so old that a withdrawn key is still valid in it.
        val freshMillis = current.freshMillis ?: return stale("this daemon has received no configuration confirmed by a majority")
        val ageMillis = clock.nowMillis() - freshMillis
        if (ageMillis < 0) return stale("the configuration counts as confirmed ${-ageMillis} ms in the future")
        if (refuseAfterMillis == null || ageMillis <= refuseAfterMillis) return null
        return stale("the configuration is $ageMillis ms old; the limit is $refuseAfterMillis ms")
    }

    private fun stale(detail: String) = ProxyError(ErrorKind.CONFIGURATION_STALE, detail)
}
