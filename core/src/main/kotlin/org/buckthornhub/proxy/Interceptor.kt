package org.buckthornhub.proxy

import com.github.michaelbull.result.Result
import org.buckthornhub.error.ProxyError

/** One step of the request path; either returns a result itself or calls [Chain.proceed]. */
public fun interface Interceptor {
    public suspend fun intercept(chain: Chain): Result<ProxyResponse, ProxyError>
}
