package org.buckthornhub.proxy

import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.PersistentList
import org.buckthornhub.error.ProxyError

/** The request path without any transport: every front end drives this. */
public interface Proxy {
    public suspend fun execute(request: ProxyRequest): Result<ProxyResponse, ProxyError>
}

/** A proxy that passes each request down [interceptors], the last of which answers. */
public fun Proxy(interceptors: PersistentList<Interceptor>, events: ProxyEventListener = ProxyEventListener.NONE): Proxy =
    RealProxy(interceptors, events)
