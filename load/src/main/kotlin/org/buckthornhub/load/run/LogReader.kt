package org.buckthornhub.load.run

import com.github.michaelbull.result.get
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.PeerJson
import org.buckthornhub.target.wire.LogBody

/** Reads the logs of stand-in groups. */
internal class LogReader(private val links: HttpLink.Factory) {
    suspend fun read(standIns: List<StandinAddress>): List<LogBody> = standIns.flatMap { standIn ->
        links.open(standIn.address).use { link -> (1..standIn.instances).map { read(link, it, standIn) } }
    }

    private suspend fun read(link: HttpLink, instance: Int, standIn: StandinAddress): LogBody {
        val reply = link.get("/instances/$instance/log", TIMEOUT_MILLIS).get()
        check(reply != null && reply.isSuccess) { "no log of instance $instance from ${standIn.address}" }
        return PeerJson.decodeFromString(LogBody.serializer(), reply.body)
    }

    private companion object {
        const val TIMEOUT_MILLIS = 10_000L
    }
}
