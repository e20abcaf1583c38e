package org.buckthornhub.cli.grant

import com.github.michaelbull.result.getOrElse
import org.buckthornhub.cli.operator.ListFile
import org.buckthornhub.cli.operator.OperatorCommand
import org.buckthornhub.control.ChangeId
import org.buckthornhub.http.WireJson
import org.buckthornhub.organisation.GrantList
import org.buckthornhub.organisation.wire.ChangeAnswer
import org.buckthornhub.organisation.wire.GrantsBody
import org.kohsuke.args4j.Argument

/** `buckthornhub grant`: shows and changes the rights granted to each plan. */
internal class GrantCommand : OperatorCommand() {
    @Argument(index = 0, metaVar = "show|apply", usage = "show the list, or apply a changed one")
    var action: String = "show"

    @Argument(index = 1, metaVar = "FILE", usage = "the changed list; its number is that of the list it was made from")
    var file: String? = null

    override val helpText: String = """
        buckthornhub grant show --daemon HOST:PORT > grants.toml
        buckthornhub grant apply grants.toml --daemon HOST:PORT

        Shows or changes what each plan may use. Show the list into a file, edit the file, apply it:

            number = 3
            openGroups = ["prices"]
            [grants.counter]
            ratePerSecond = 50.0
            burst = 100
            groups = ["ledger"]
            readOnly = false

        The rate counts statements a second over the whole fleet. Groups in openGroups may be read by anyone.
        Leave the number as it was shown. If somebody else was quicker, nothing is changed and the answer names
        the change that won (exit code 1). A list with a fault is refused whole, with every fault named.
    """

    override suspend fun execute(): Int = when (action) {
        "show" -> printResult(client.show("grants")) { ListFile.write(GrantList.serializer(), client.decode(GrantList.serializer(), it)) }
        "apply" -> apply()
        else -> usageError("grant $action is unknown; use show or apply FILE")
    }

    private suspend fun apply(): Int {
        val list = ListFile.read(file ?: return usageError("grant apply needs a FILE"), GrantList.serializer()).getOrElse {
            return usageError(it)
        }
        val body = GrantsBody(ChangeId(newChangeId()), list.copy(number = list.number + 1))
        val result = client.post("grants", WireJson.encodeToString(GrantsBody.serializer(), body))
        return printResult(result) {
            "list of grants number ${body.list.number} accepted, revision ${client.decode(ChangeAnswer.serializer(), it).revision}"
        }
    }
}
