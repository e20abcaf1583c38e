package org.buckthornhub.proxy

import com.github.michaelbull.result.Result
import org.buckthornhub.error.ProxyError

/** The interceptors that remain for a request. */
public interface Chain {
    public val call: Call

    /** Passes [call] to the next interceptor. */
    public suspend fun proceed(call: Call): Result<ProxyResponse, ProxyError>
}
