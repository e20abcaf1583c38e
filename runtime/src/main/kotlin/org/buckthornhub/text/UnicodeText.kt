package org.buckthornhub.text

import java.io.File
import java.nio.charset.CharacterCodingException

/**
 * Text of bytes from outside, without replacement characters: two texts that differ in bytes without a meaning would become the same
 * one, and neither is what was sent.
 */
public object UnicodeText {
    private const val LAST_ASCII = '~'
    private const val PERCENT = '%'
    private const val HEX = 16
    private const val ESCAPE_CHARS = 4

    /** Returns the text that [bytes] stand for; null if they aren't UTF-8. */
    public fun decode(bytes: ByteArray): String? = try {
        bytes.decodeToString(throwOnInvalidSequence = true)
    } catch (e: CharacterCodingException) {
        null
    }

    /** Returns the text of [file]. Throws an [java.io.IOException] if it can't be read, or isn't UTF-8. */
    public fun read(file: File): String = decode(file.readBytes()) ?: throw CharacterCodingException()

    /**
     * Returns whether every escape of [json] stands for a Unicode character: an escape of half a surrogate pair stands for none, and
     * becomes a question mark when it is encoded again.
     */
    public fun hasOnlyCharacters(json: String): Boolean {
        var index = json.indexOf('\\')
        while (index >= 0) {
            val unit = codeUnitAt(json, index)
            val isPair = unit != null && unit.isHighSurrogate() && codeUnitAt(json, index + ESCAPE_CHARS + 2)?.isLowSurrogate() == true
            if (unit != null && unit.isSurrogate() && !isPair) return false
            // The character after a backslash belongs to the escape, also if it is a backslash.
            index = json.indexOf('\\', index + if (isPair) 2 * (ESCAPE_CHARS + 2) else 2)
        }
        return true
    }

    /** Returns whether the percent-encoded [uri] of a request stands for Unicode text. */
    public fun isUri(uri: String): Boolean {
        if (uri.any { it > LAST_ASCII }) return false
        val bytes = PERCENT_ENCODED.findAll(uri).map { sequence ->
            ByteArray(sequence.value.length / ENCODED_CHARS) {
                sequence.value.substring(it * ENCODED_CHARS + 1, (it + 1) * ENCODED_CHARS).toInt(HEX).toByte()
            }
        }
        return PERCENT !in uri || bytes.all { decode(it) != null }
    }

    // The code unit of an escape such as \u00e9 at [index]; null if there is none.
    private fun codeUnitAt(json: String, index: Int): Char? {
        if (!json.startsWith("\\u", index)) return null
        val digits = json.substring(index + 2, minOf(index + 2 + ESCAPE_CHARS, json.length))
        return digits.takeIf { it.length == ESCAPE_CHARS }?.toIntOrNull(HEX)?.toChar()
    }

    private const val ENCODED_CHARS = 3
    private val PERCENT_ENCODED = Regex("(?:%[0-9A-Fa-f]{2})+")
}
