package org.buckthornhub.cli.plan

import com.github.michaelbull.result.getOrElse
import org.buckthornhub.cli.operator.ListFile
import org.buckthornhub.cli.operator.OperatorCommand
import org.buckthornhub.control.ChangeId
import org.buckthornhub.http.WireJson
import org.buckthornhub.organisation.PlanList
import org.buckthornhub.organisation.wire.ChangeAnswer
import org.buckthornhub.organisation.wire.PlansBody
import org.kohsuke.args4j.Argument

/** `buckthornhub plan`: shows and changes the plan of each organisation. */
internal class PlanCommand : OperatorCommand() {
    @Argument(index = 0, metaVar = "show|apply", usage = "show the list, or apply a changed one")
    var action: String = "show"

    @Argument(index = 1, metaVar = "FILE", usage = "the changed list; its number is that of the list it was made from")
    var file: String? = null

    override val helpText: String = """
        buckthornhub plan show --daemon HOST:PORT > plans.toml
        buckthornhub plan apply plans.toml --daemon HOST:PORT

        Shows or changes which plan each organisation holds. Show the list into a file, edit the file, apply it:

            number = 3
            [plans]
            ikeja = "counter"

        Leave the number as it was shown. If somebody else was quicker, nothing is changed and the answer names
        the change that won (exit code 1): show the list again and repeat your edit. A list with a fault is refused
        whole, with every fault named. Grant a plan ("buckthornhub grant") before organisations hold it.
    """

    override suspend fun execute(): Int = when (action) {
        "show" -> printResult(client.show("plans")) { ListFile.write(PlanList.serializer(), client.decode(PlanList.serializer(), it)) }
        "apply" -> apply()
        else -> usageError("plan $action is unknown; use show or apply FILE")
    }

    private suspend fun apply(): Int {
        val list = ListFile.read(file ?: return usageError("plan apply needs a FILE"), PlanList.serializer()).getOrElse {
            return usageError(it)
        }
        val body = PlansBody(ChangeId(newChangeId()), list.copy(number = list.number + 1))
        val result = client.post("plans", WireJson.encodeToString(PlansBody.serializer(), body))
        return printResult(result) {
            "list of plans number ${body.list.number} accepted, revision ${client.decode(ChangeAnswer.serializer(), it).revision}"
        }
    }
}
