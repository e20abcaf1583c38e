package org.buckthornhub.cli.explain.log

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.longOrNull

/**
 * The lines of saved logs, of one process or of many.
 *
 * @property skipped lines that no daemon wrote, or that were cut
 */
internal data class LogFile(
    val lines: List<LogLine>,
    val skipped: Int,
) {
    companion object {
        /** Reads [texts], one JSON object a line, with or without words in front such as the time and the VM. */
        fun read(texts: Sequence<String>): LogFile {
            val lines = texts.filter { it.isNotBlank() }.map { lineOf(it) }.toList()
            return LogFile(lines.filterNotNull(), skipped = lines.count { it == null })
        }

        private fun lineOf(text: String): LogLine? {
            val start = text.indexOf('{').takeIf { it >= 0 } ?: return null
            val json = objectOf(text.substring(start)) ?: return null
            val writtenMillis = (json["timestamp"] as? JsonPrimitive)?.longOrNull ?: return null
            val message = (json["message"] as? JsonPrimitive)?.contentOrNull ?: return null
            val vm = text.substring(0, start).trim().split(' ').lastOrNull { it.isNotEmpty() }
            return LogLine(writtenMillis, vm, message, fieldsOf(json["kvpList"]))
        }

        private fun objectOf(text: String): JsonObject? = try {
            Json.parseToJsonElement(text) as? JsonObject
        } catch (e: IllegalArgumentException) {
            // A line that was cut, or no JSON at all; it is counted as skipped.
            null
        }

        private fun fieldsOf(pairs: JsonElement?): Map<String, String> = (pairs as? JsonArray).orEmpty()
            .filterIsInstance<JsonObject>()
            .flatMap { it.entries }
            .mapNotNull { (name, value) -> (value as? JsonPrimitive)?.contentOrNull?.let { name to it } }
            .toMap()
    }
}
