package org.buckthornhub.http

import io.github.oshai.kotlinlogging.KotlinLogging
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.GZIPInputStream
import java.util.zip.GZIPOutputStream

/**
 * Compresses large bodies between daemons.
 *
 * Answers the load of a large route table: uncompressed, 160 KB between two control VMs held up the heartbeats on the same link for
 * longer than an election takes. Only daemons that announce [HEADER] get compressed bodies, so older versions and callers get none.
 */
internal object BodyCompression {
    /** Header by which a daemon says that it accepts compressed bodies; its value names the format. */
    const val HEADER: String = "X-Fleet-Accept-Encoding"

    /** Header of a body that is compressed. */
    const val ENCODED: String = "X-Fleet-Encoding"
    const val GZIP: String = "gzip"

    /** Shorter bodies fit into one or two packets as they are; in characters. */
    const val MIN_CHARS: Int = 2_048

    fun compress(text: String): ByteArray {
        val bytes = ByteArrayOutputStream(text.length / EXPECTED_RATIO)
        GZIPOutputStream(bytes).use { it.write(text.toByteArray()) }
        return bytes.toByteArray()
    }

    /** Returns the bytes of the text, or null if [bytes] are damaged or the text has more than [maxBytes]. */
    fun expand(bytes: ByteArray, maxBytes: Long): ByteArray? = try {
        val text = GZIPInputStream(ByteArrayInputStream(bytes)).use { it.readNBytes((maxBytes + 1).toInt()) }
        text.takeIf { it.size <= maxBytes }
    } catch (e: IOException) {
        logger.debug { "a compressed body is damaged: ${e.message}" }
        null
    }

    private const val EXPECTED_RATIO = 8
    private val logger = KotlinLogging.logger {}
}
