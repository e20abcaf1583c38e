package org.buckthornhub.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import net.peanuuutz.tomlkt.Toml
import net.peanuuutz.tomlkt.TomlArray
import net.peanuuutz.tomlkt.TomlElement
import net.peanuuutz.tomlkt.TomlLiteral
import net.peanuuutz.tomlkt.TomlNull
import net.peanuuutz.tomlkt.TomlTable
import org.buckthornhub.control.ControlSettings
import org.buckthornhub.fleet.VmId
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.session.SessionPolicy

/** Parses and validates a settings file; returns the settings or the list of all errors. */
public class SettingsLoader {
    public fun load(toml: String): Result<Settings, PersistentList<SettingFault>> = parse(toml).andThen { check(it) }

    private fun parse(toml: String): Result<Map<String, Any?>, PersistentList<SettingFault>> = try {
        Ok(flatten("", Toml.parseToTomlTable(toml)))
    } catch (e: IllegalArgumentException) {
        Err(persistentListOf(SettingFault("(file)", e.message.orEmpty(), "TOML")))
    }

    private fun flatten(prefix: String, table: TomlTable): Map<String, Any?> = table.entries.fold(emptyMap()) { values, (name, element) ->
        val key = "$prefix$name"
        values + if (element is TomlTable) flatten("$key.", element) else mapOf(key to valueOf(element))
    }

    private fun valueOf(element: TomlElement): Any? = when (element) {
        is TomlNull -> null
        is TomlLiteral -> literalOf(element)
        is TomlArray -> element.map { valueOf(it) }
        is TomlTable -> element.toString()
    }

    private fun literalOf(literal: TomlLiteral): Any = when (literal.type) {
        TomlLiteral.Type.Integer -> literal.content.toLongOrNull() ?: literal.content
        TomlLiteral.Type.Float -> literal.content.toDouble()
        TomlLiteral.Type.Boolean -> literal.content.toBoolean()
        else -> literal.content
    }

    private fun check(found: Map<String, Any?>): Result<Settings, PersistentList<SettingFault>> {
        val known = SettingDefinitions.ALL.associateBy { it.key }
        val unknown = (found.keys - known.keys).map { SettingFault(it, "an unknown key", "one of the settings in docs/OPERATIONS.md") }
        val invalid = SettingDefinitions.ALL.mapNotNull { errorIn(it, found) }
        val errors =
            (unknown + invalid + CrossChecks.errorsIn(found)).ifEmpty { memberErrors(ValueReader(found)) }.toPersistentList()
        return if (errors.isEmpty()) Ok(settingsOf(ValueReader(found))) else Err(errors)
    }

    private fun memberErrors(values: ValueReader): List<SettingFault> {
        val isMember = values.texts("control.members").any { ControlSettings.memberOf(it)?.first?.value == values.text("vm") }
        val isFolderMissing = isMember && values.textOrNull("control.data_folder") == null
        val folder = SettingFault("control.data_folder", "nothing", "a folder, as this VM is named in control.members")
        return ControlSettings.faultsOf(values.texts("control.members")) + listOfNotNull(folder.takeIf { isFolderMissing })
    }

    private fun errorIn(definition: SettingDefinition, found: Map<String, Any?>): SettingFault? {
        if (definition.key !in found) {
            val isMissing = definition.default == null && !definition.isOptional
            return if (isMissing) SettingFault(definition.key, "nothing", definition.kind.allowed) else null
        }
        val value = found[definition.key]
        return if (definition.kind.accept(value) == null) SettingFault(definition.key, "$value", definition.kind.allowed) else null
    }

    private fun controlOf(values: ValueReader): ControlSettings = ControlSettings(
        members = values.texts("control.members").mapNotNull { ControlSettings.memberOf(it) }.toMap(),
        dataFolder = values.textOrNull("control.data_folder"),
        heartbeatMillis = values.whole("control.heartbeat_ms"),
        electionMillis = values.whole("control.election_ms"),
        operatorSecret = values.textOrNull("operator.secret"),
        refuseKeysAfterMillis = values.whole("keys.cut_off_after_ms").takeIf { values.text("keys.cut_off_policy") == "refuse" },
    )

    private fun settingsOf(values: ValueReader): Settings = Settings(
        vm = VmId(values.text("vm")),
        zone = ZoneId(values.text("zone")),
        host = values.text("listen.host"),
        port = values.whole("listen.port").toInt(),
        fleetSecret = values.text("fleet.secret"),
        initialConfiguration = values.textOrNull("control.initial_configuration"),
        defaultDeadlineMillis = values.whole("request.default_deadline_ms"),
        maxBodyBytes = values.whole("listen.max_body_bytes"),
        logFormat = LogFormat.valueOf(values.text("log.format").uppercase()),
        limits = LimitSettings.read(values),
        shutdown = ShutdownSettings.read(values),
        observe = ObserveSettings.read(values),
        owner = ownerLimits(values),
        sessions = SessionPolicy(isMonotonic = values.text("session.monotonic_reads") == "yes"),
        fleetSeeds = values.texts("fleet.seeds"),
        control = controlOf(values),
    )
}
