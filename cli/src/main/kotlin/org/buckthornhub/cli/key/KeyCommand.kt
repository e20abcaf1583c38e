package org.buckthornhub.cli.key

import com.github.michaelbull.result.map
import kotlinx.serialization.builtins.ListSerializer
import org.buckthornhub.cli.operator.OperatorCommand
import org.buckthornhub.control.ChangeId
import org.buckthornhub.http.WireJson
import org.buckthornhub.organisation.ApiKey
import org.buckthornhub.organisation.KeyDigest
import org.buckthornhub.organisation.KeyRecord
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.organisation.wire.GiveKeyBody
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.security.SecureRandom
import java.util.Base64

/** `buckthornhub key`: issues, withdraws and lists API keys. */
internal class KeyCommand : OperatorCommand() {
    @Argument(index = 0, metaVar = "give|withdraw|list", usage = "what to do")
    var action: String = "list"

    @Argument(index = 1, metaVar = "NAME", usage = "name of the key; a name is used once")
    var name: String? = null

    @Option(name = "--organisation", metaVar = "NAME", usage = "whose key it is (give)")
    var organisation: String? = null

    override val helpText: String = """
        buckthornhub key give NAME --organisation ORGANISATION --daemon HOST:PORT
        buckthornhub key withdraw NAME --daemon HOST:PORT
        buckthornhub key list --daemon HOST:PORT

        give makes a key of 256 random bits and prints it once; the fleet only ever learns its SHA-256.
        withdraw works at any daemon you can reach, also when the control quorum has no majority. The answer
        names the daemons and zones that have not confirmed: they may still accept the key until they can be
        reached. A withdrawn key never comes back, and its name is not used again.
    """

    override suspend fun execute(): Int = when (action) {
        "list" -> list()
        "give" -> give()
        "withdraw" -> withdraw()
        else -> usageError("key $action is unknown; use give, withdraw or list")
    }

    private suspend fun list(): Int = printResult(client.show("keys")) { body ->
        client.decode(ListSerializer(KeyRecord.serializer()), body).joinToString("\n") {
            "${it.keyName}\t${it.organisation}\t${if (it.withdrawn) "withdrawn" else "in force"}"
        }
    }

    private suspend fun give(): Int {
        val keyName = name ?: return usageError("key give needs a NAME")
        val owner = organisation ?: return usageError("key give needs --organisation")
        val key = newKey()
        val body = GiveKeyBody(ChangeId(newChangeId()), keyName, OrganisationId(owner), KeyDigest.of(ApiKey(key)))
        val result = client.post("keys", WireJson.encodeToString(GiveKeyBody.serializer(), body))
        val shown = result.map { if (json) "{\"keyName\":\"$keyName\",\"key\":\"$key\"}" else it }
        return printResult(shown) { "key $keyName of organisation $owner, shown only this once:\n$key" }
    }

    private suspend fun withdraw(): Int {
        val keyName = name ?: return usageError("key withdraw needs a NAME")
        return printResult(client.post("keys/$keyName/withdraw", "{}")) { it }
    }

    private fun newKey(): String {
        val bytes = ByteArray(KEY_BYTES).also { SecureRandom().nextBytes(it) }
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)
    }

    private companion object {
        const val KEY_BYTES = 32
    }
}
