package org.buckthornhub.proxy

import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.PersistentList
import org.buckthornhub.error.ProxyError

/** Executes requests independently of the transport; every front end calls it. */
public interface Proxy {
    public suspend fun execute(request: ProxyRequest): Result<ProxyResponse, ProxyError>
}

/** Creates a proxy that passes each request through [interceptors]; the last one has to return a result. */
public fun Proxy(interceptors: PersistentList<Interceptor>, events: ProxyEventListener = ProxyEventListener.NONE): Proxy =
    RealProxy(interceptors, events)
