package org.buckthornhub.daemon

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import org.buckthornhub.control.ControlClient
import org.buckthornhub.control.ControlLeadership
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.fleet.VmId
import org.buckthornhub.http.HttpFailure
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.HttpReply
import org.buckthornhub.peer.HttpLinkCache

/** Sends requests from a control VM to the current leader of the quorum. */
internal class LeaderControlClient(
    private val leadership: StateSource<ControlLeadership>,
    private val addressOf: (VmId) -> String,
    links: HttpLink.Factory,
) : ControlClient {
    private val memberLinks = HttpLinkCache(links)

    override suspend fun post(path: String, body: String, timeoutMillis: Long): Result<HttpReply, HttpFailure> {
        val leader =
            leadership.current().leader ?: return Err(HttpFailure(sent = false, detail = "no leader of the control quorum is known"))
        return memberLinks.to(addressOf(leader)).post(path, body, timeoutMillis)
    }
}
