package org.buckthornhub.cli.operator

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull
import net.peanuuutz.tomlkt.Toml
import net.peanuuutz.tomlkt.TomlArray
import net.peanuuutz.tomlkt.TomlElement
import net.peanuuutz.tomlkt.TomlLiteral
import net.peanuuutz.tomlkt.TomlTable
import org.buckthornhub.http.WireJson
import org.buckthornhub.text.UnicodeText
import java.io.File
import java.io.IOException

/** Reads and writes lists of plans or grants in files: JSON if the name ends in `.json`, else TOML. */
internal object ListFile {
    fun <T> read(path: String, serializer: KSerializer<T>): Result<T, String> = try {
        val text = UnicodeText.read(File(path))
        Ok(if (path.endsWith(".json")) WireJson.decodeFromString(serializer, text) else Toml.decodeFromString(serializer, text))
    } catch (e: IOException) {
        Err("$path can't be read: ${e.message}")
    } catch (e: SerializationException) {
        Err("$path is not such a list: ${e.message.orEmpty().lineSequence().first()}")
    }

    // Converts through JSON, because the TOML library can't encode maps whose keys are value classes.
    fun <T> write(serializer: KSerializer<T>, list: T): String =
        Toml.encodeToString(TomlElement.serializer(), tomlOf(WireJson.encodeToJsonElement(serializer, list)))

    private fun tomlOf(element: JsonElement): TomlElement = when (element) {
        is JsonObject -> TomlTable(element.mapValues { tomlOf(it.value) })
        is JsonArray -> TomlArray(element.map { tomlOf(it) })
        is JsonPrimitive -> literalOf(element)
    }

    private fun literalOf(element: JsonPrimitive): TomlElement {
        if (element.isString) return TomlLiteral(element.content)
        val flag = element.booleanOrNull
        val integer = element.longOrNull
        return when {
            flag != null -> TomlLiteral(flag)
            integer != null -> TomlLiteral(integer)
            else -> TomlLiteral(element.doubleOrNull ?: 0.0)
        }
    }
}
