package org.buckthornhub.proxy

import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.PersistentList
import org.buckthornhub.error.ProxyError

internal class RealProxy(
    private val interceptors: PersistentList<Interceptor>,
    private val events: ProxyEventListener,
) : Proxy {
    override suspend fun execute(request: ProxyRequest): Result<ProxyResponse, ProxyError> {
        events.requestStarted(request)
        val call = Call(request)
        val result = RealChain(interceptors, index = 0, call = call).proceed(call)
        events.requestEnded(request, result)
        return result
    }
}
