package org.buckthornhub.organisation

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.proxy.Call
import org.buckthornhub.proxy.Chain
import org.buckthornhub.proxy.Interceptor
import org.buckthornhub.proxy.ProxyResponse
import org.buckthornhub.statement.Access
import org.buckthornhub.statement.Operation

/** Refuses requests for groups or accesses that the plan of their organisation does not grant. */
public class AuthorizeInterceptor(private val configuration: StateSource<Configuration>) : Interceptor {
    override suspend fun intercept(chain: Chain): Result<ProxyResponse, ProxyError> {
        val refusal = refusalOf(chain.call) ?: return chain.proceed(chain.call)
        return Err(refusal)
    }

    private fun refusalOf(call: Call): ProxyError? {
        val group = call.request.operation.group
        val isOpen = group in configuration.current().grants.openGroups
        if (call.organisation == null || isOpen && !isWrite(call.request.operation)) return null
        val grant = call.grant ?: return ProxyError(ErrorKind.GROUP_NOT_GRANTED, "organisation ${call.organisation} holds no granted plan")
        if (group !in grant.groups) return ProxyError(ErrorKind.GROUP_NOT_GRANTED, "group $group is not granted")
        if (grant.readOnly && isWrite(call.request.operation)) return ProxyError(ErrorKind.WRITE_NOT_GRANTED, "the plan grants reads only")
        return null
    }

    private fun isWrite(operation: Operation): Boolean = when (operation) {
        is Operation.Run -> operation.statement.access == Access.WRITE
        is Operation.Begin, is Operation.RunInTransaction, is Operation.Commit, is Operation.RollBack -> true
    }
}
