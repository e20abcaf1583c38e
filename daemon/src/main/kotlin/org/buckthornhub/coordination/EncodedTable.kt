package org.buckthornhub.coordination

import kotlinx.coroutines.flow.MutableStateFlow
import org.buckthornhub.http.CompressedBody
import org.buckthornhub.http.JsonStream
import org.buckthornhub.http.PeerJson
import org.buckthornhub.routetable.RouteTable

/**
 * Encodes and compresses each version of the route table once for all daemons.
 *
 * Answers the pattern of a large configuration at the moment when many daemons restart: encoding it for each of them would
 * keep the event loop of the leader from its heartbeats, and a copy for each of them would use up its memory.
 */
internal class EncodedTable {
    // A version and its text change together: the handlers of reports run on several threads.
    private val newest = MutableStateFlow<Pair<Long, CompressedBody>?>(null)

    /** Returns the start of an encoded [ProxyReportAnswer] with [table]; the rest is that of the encoded answer after its first brace. */
    fun headOf(table: RouteTable): CompressedBody {
        newest.value?.let { (version, head) -> if (version == table.version) return head }
        return encode(table).also { newest.value = table.version to it }
    }

    private fun encode(table: RouteTable): CompressedBody {
        val gzip = JsonStream.compress { out ->
            out.write(FIELD.toByteArray())
            JsonStream.write(RouteTable.serializer(), table, out)
            out.write(SEPARATOR.toByteArray())
        }
        return CompressedBody(gzip) { FIELD + PeerJson.encodeToString(RouteTable.serializer(), table) + SEPARATOR }
    }

    private companion object {
        const val FIELD = "{\"table\":"
        const val SEPARATOR = ","
    }
}
