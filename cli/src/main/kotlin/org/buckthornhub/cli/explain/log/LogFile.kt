package org.buckthornhub.cli.explain.log

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.longOrNull

/**
 * Parsed lines of saved logs, from one or several processes.
 *
 * @property skipped number of lines that no daemon wrote, or that are truncated
 */
internal data class LogFile(
    val lines: List<LogLine>,
    val skipped: Int,
) {
    companion object {
        /** Parses [texts], one JSON object per line, optionally preceded by words such as the time and the VM. */
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
            // A truncated line, or no JSON at all: counted as skipped.
            null
        }

        private fun fieldsOf(pairs: JsonElement?): Map<String, String> = (pairs as? JsonArray).orEmpty()
            .filterIsInstance<JsonObject>()
            .flatMap { it.entries }
            .mapNotNull { (name, value) -> (value as? JsonPrimitive)?.contentOrNull?.let { name to it } }
            .toMap()
    }
}
