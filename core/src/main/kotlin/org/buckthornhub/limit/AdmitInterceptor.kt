package org.buckthornhub.limit

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import org.buckthornhub.error.ProxyError
import org.buckthornhub.proxy.Chain
import org.buckthornhub.proxy.Interceptor
import org.buckthornhub.proxy.ProxyEventListener
import org.buckthornhub.proxy.ProxyResponse

/** Takes a rate limit token for each request; requests to open groups without an organisation are not limited. */
public class AdmitInterceptor(
    private val admission: Admission,
    private val events: ProxyEventListener = ProxyEventListener.NONE,
) : Interceptor {
    override suspend fun intercept(chain: Chain): Result<ProxyResponse, ProxyError> {
        val call = chain.call
        val organisation = call.organisation ?: return chain.proceed(call)
        val grant = call.grant ?: return chain.proceed(call)
        val waited = admission.admit(organisation, grant, call.request.deadlineMillis).getOrElse { return Err(it) }
        events.admitted(call.request, waited)
        return chain.proceed(call)
    }
}
