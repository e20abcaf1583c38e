package org.buckthornhub.control

import org.buckthornhub.http.JsonStream
import org.buckthornhub.http.PeerJson
import org.buckthornhub.replication.DurableRecord
import java.io.ByteArrayOutputStream
import java.io.OutputStream
import java.util.zip.CRC32C
import java.util.zip.CheckedOutputStream
import java.util.zip.Checksum

/** Encodes a record as a line of text: the CRC32C of its JSON in hexadecimal, a space, and the JSON. */
internal object RecordLine {
    private const val HEX = 16
    private const val LINE_END = '\n'.code
    private const val CHECKSUM_LENGTH = 8

    /** Writes the line of [record] to [out]. */
    fun write(record: DurableRecord, out: OutputStream) {
        val json = ByteArrayOutputStream().also { JsonStream.write(DurableRecord.serializer(), record, it) }
        val checksum = CheckedOutputStream(OutputStream.nullOutputStream(), CRC32C()).also { json.writeTo(it) }.checksum
        out.write("${textOf(checksum)} ".toByteArray())
        json.writeTo(out)
        out.write(LINE_END)
    }

    /** Decodes [line], given without its line end; returns null if it is damaged. */
    fun decode(line: String): DurableRecord? {
        val json = line.drop(CHECKSUM_LENGTH + 1)
        if (line.take(CHECKSUM_LENGTH) != checksumOf(json)) return null
        return try {
            PeerJson.decodeFromString(DurableRecord.serializer(), json)
        } catch (e: IllegalArgumentException) {
            null
        }
    }

    private fun checksumOf(json: String): String = textOf(CRC32C().apply { update(json.toByteArray()) })

    private fun textOf(checksum: Checksum): String = checksum.value.toString(HEX).padStart(CHECKSUM_LENGTH, '0')
}
