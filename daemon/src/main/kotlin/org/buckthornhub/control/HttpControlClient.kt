package org.buckthornhub.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import org.buckthornhub.clock.Clock
import org.buckthornhub.fleet.VmId
import org.buckthornhub.http.HttpFailure
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.HttpReply
import org.buckthornhub.peer.PeerAuthenticator

/** Finds the leader through the hints of the control VMs, and tries them in turn when there is no hint. */
internal class HttpControlClient(
    members: Map<VmId, String>,
    links: HttpLink.Factory,
    private val authority: PeerAuthenticator,
    private val clock: Clock,
) : ControlClient,
    AutoCloseable {
    private val vms = members.keys.toList()
    private val connections = members.mapValues { (_, address) -> links.open(address) }
    private val likelyLeader = MutableStateFlow(vms.firstOrNull())

    override suspend fun post(path: String, body: String, timeoutMillis: Long): Result<HttpReply, HttpFailure> {
        val deadlineMillis = clock.nowMillis() + timeoutMillis
        var failure = HttpFailure(sent = false, detail = "no control VM is configured")
        while (clock.nowMillis() < deadlineMillis) {
            val vm = likelyLeader.value ?: return Err(failure)
            val remainingMillis = minOf(deadlineMillis - clock.nowMillis(), timeoutMillis)
            val result = connections.getValue(vm).post(path, body, remainingMillis, authority.headers())
            val reply = result.getOrElse { cause ->
                likelyLeader.value = nextAfter(vm)
                failure = cause
                // A request that was sent may have been executed; only the caller knows whether resending is safe.
                if (cause.sent) return Err(cause)
                null
            }
            if (reply != null && reply.status != LeaderGuard.NOT_LEADER) return result
            if (reply != null) likelyLeader.value = hintOf(reply)?.takeIf { it != vm } ?: nextAfter(vm)
            delay(RETRY_MILLIS)
        }
        return Err(HttpFailure(sent = false, detail = "no leader of the control quorum found within $timeoutMillis ms: ${failure.detail}"))
    }

    override fun close(): Unit = connections.values.forEach { it.close() }

    private fun hintOf(reply: HttpReply): VmId? = reply.headers.entries
        .firstOrNull { it.key.equals(LeaderGuard.HEADER, ignoreCase = true) }
        ?.let { VmId(it.value) }
        ?.takeIf { it in vms }

    private fun nextAfter(vm: VmId): VmId = vms[(vms.indexOf(vm) + 1) % vms.size]

    private companion object {
        const val RETRY_MILLIS = 20L
    }
}
