package org.buckthornhub.cli.load

import org.buckthornhub.http.WireJson
import org.buckthornhub.load.check.OrganisationRight
import org.buckthornhub.load.run.FaultOrder
import org.buckthornhub.load.run.LoadPlan
import org.buckthornhub.load.run.StandinAddress
import org.buckthornhub.load.session.SessionPlan
import org.buckthornhub.text.UnicodeText
import java.io.File

/** Builds the [LoadPlan] from the options of [LoadCommand]; throws an [IllegalArgumentException] that names an invalid option. */
internal class LoadPlanReader(private val options: LoadCommand) {
    private val keys = pairs("--keys", options.keys)
    private val offered = pairs("--offered", options.offered).mapValues { (_, text) -> number("--offered", text) }

    fun read(): LoadPlan = LoadPlan(
        daemons = list(options.daemons),
        keys = keys,
        sessions = sessions(),
        durationMillis = options.durationMillis,
        seed = options.seed,
        rights = pairs("--rights", options.rights).map { (organisation, text) -> rightOf(organisation, text) },
        clientDelayMillis = options.clientDelayMillis,
        standIns = list(options.standIns).map { standInOf(it) },
        faults = options.faults?.let { WireJson.decodeFromString<List<FaultOrder>>(UnicodeText.read(File(it))) }.orEmpty(),
        direct = options.direct,
    )

    private fun sessions(): List<SessionPlan> = keys.keys.ifEmpty { setOf(NO_ORGANISATION) }.flatMap { organisation ->
        (0 until options.sessions).map { index ->
            SessionPlan(
                organisation = organisation,
                name = "$organisation/${options.runName}-$index",
                neighbour = "$organisation/${options.runName}-0",
                groups = list(options.groups),
                offeredPerSecond = (offered[organisation] ?: DEFAULT_OFFERED_PER_SECOND) / options.sessions,
                readShare = options.readShare,
                transactionShare = options.transactionShare,
                acceptedAgesMillis = list(options.acceptedAges).map { number("--accepted-ages", it).toLong() },
            )
        }
    }

    private fun rightOf(organisation: String, text: String): OrganisationRight {
        val (rate, burst) = twoParts("--rights", text, '/')
        return OrganisationRight(organisation, number("--rights", rate), number("--rights", burst).toInt())
    }

    private fun standInOf(text: String): StandinAddress {
        val (address, instances) = twoParts("--stand-ins", text, '/')
        return StandinAddress(address, number("--stand-ins", instances).toInt())
    }

    private fun pairs(option: String, text: String): Map<String, String> = list(text).associate { twoParts(option, it, '=') }

    private fun twoParts(option: String, text: String, separator: Char): Pair<String, String> {
        require(separator in text) { "$option: found $text; allowed: two parts with $separator between them" }
        return text.substringBefore(separator) to text.substringAfter(separator)
    }

    private fun number(option: String, text: String): Double =
        requireNotNull(text.toDoubleOrNull()) { "$option: found $text; allowed: a number" }

    private fun list(text: String): List<String> = text.split(',').filter { it.isNotEmpty() }

    private companion object {
        const val NO_ORGANISATION = "open"
        const val DEFAULT_OFFERED_PER_SECOND = 20.0
    }
}
