package org.buckthornhub.http

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.json.encodeToStream
import java.io.ByteArrayOutputStream
import java.io.OutputStream
import java.util.zip.GZIPOutputStream

/** Encodes values in [PeerJson] without their whole text in memory, which for a large route table takes more than the table. */
public object JsonStream {
    @OptIn(ExperimentalSerializationApi::class)
    public fun <T> write(serializer: SerializationStrategy<T>, value: T, out: OutputStream): Unit =
        PeerJson.encodeToStream(serializer, value, out)

    /** Returns the compressed bytes that [write] writes. */
    public fun compress(write: (OutputStream) -> Unit): ByteArray {
        val bytes = ByteArrayOutputStream()
        GZIPOutputStream(bytes).use(write)
        return bytes.toByteArray()
    }
}
