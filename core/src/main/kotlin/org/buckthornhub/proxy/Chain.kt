package org.buckthornhub.proxy

import com.github.michaelbull.result.Result
import org.buckthornhub.error.ProxyError

/** The rest of the request path, as one interceptor sees it. */
public interface Chain {
    public val call: Call

    /** Hands [call] to the next interceptor. */
    public suspend fun proceed(call: Call): Result<ProxyResponse, ProxyError>
}
