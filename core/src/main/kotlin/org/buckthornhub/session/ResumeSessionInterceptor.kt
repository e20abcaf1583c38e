package org.buckthornhub.session

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.proxy.Chain
import org.buckthornhub.proxy.Interceptor
import org.buckthornhub.proxy.ProxyResponse

/** Decodes the session token, or starts a session if there is none; rejects tokens of another organisation. */
public class ResumeSessionInterceptor(private val codec: SessionCodec) : Interceptor {
    override suspend fun intercept(chain: Chain): Result<ProxyResponse, ProxyError> {
        val call = chain.call
        val token = call.request.sessionToken ?: return chain.proceed(call.copy(session = Session(call.organisation)))
        val session = codec.decode(token).getOrElse { return Err(it) }
        if (session.organisation != call.organisation) {
            return Err(ProxyError(ErrorKind.SESSION_FOREIGN, "the session belongs to another organisation"))
        }
        return chain.proceed(call.copy(session = session))
    }
}
