package org.buckthornhub.organisation

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.proxy.Call
import org.buckthornhub.proxy.Chain
import org.buckthornhub.proxy.Interceptor
import org.buckthornhub.proxy.ProxyEventListener
import org.buckthornhub.proxy.ProxyRequest
import org.buckthornhub.proxy.ProxyResponse
import org.buckthornhub.statement.Access
import org.buckthornhub.statement.Operation

/** Identifies the organisation by the key of the request; open groups can be read without a key. */
public class AuthenticateInterceptor(
    private val configuration: StateSource<Configuration>,
    private val events: ProxyEventListener = ProxyEventListener.NONE,
) : Interceptor {
    override suspend fun intercept(chain: Chain): Result<ProxyResponse, ProxyError> {
        val call = chain.call
        val authenticated = authenticate(call, configuration.current()).getOrElse { return Err(it) }
        events.authenticated(call.request, authenticated.organisation)
        return chain.proceed(authenticated)
    }

    private fun authenticate(call: Call, current: Configuration): Result<Call, ProxyError> {
        val key = call.request.key ?: return withoutKey(call, current)
        val record = current.keys[KeyDigest.of(key)] ?: return error(ErrorKind.KEY_UNKNOWN, "the key is not known")
        if (record.withdrawn) return error(ErrorKind.KEY_WITHDRAWN, "the key ${record.keyName} was withdrawn")
        return Ok(call.copy(organisation = record.organisation, grant = current.grantOf(record.organisation)))
    }

    private fun withoutKey(call: Call, current: Configuration): Result<Call, ProxyError> {
        val isOpen = call.request.operation.group in current.grants.openGroups && isRead(call.request)
        return if (isOpen) Ok(call) else error(ErrorKind.KEY_MISSING, "the request contains no key")
    }

    private fun isRead(request: ProxyRequest): Boolean = (request.operation as? Operation.Run)?.statement?.access == Access.READ

    private fun error(kind: ErrorKind, detail: String) = Err(ProxyError(kind, detail))
}
