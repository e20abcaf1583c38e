package org.buckthornhub.proxy

import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.PersistentList
import org.buckthornhub.error.ProxyError

internal class RealChain(
    private val interceptors: PersistentList<Interceptor>,
    private val index: Int,
    override val call: Call,
) : Chain {
    override suspend fun proceed(call: Call): Result<ProxyResponse, ProxyError> {
        check(index < interceptors.size) { "the last interceptor called proceed instead of returning a result" }
        return interceptors[index].intercept(RealChain(interceptors, index + 1, call))
    }
}
