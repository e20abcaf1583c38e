package org.buckthornhub.cli.primary

import org.buckthornhub.cli.operator.OperatorCommand
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.http.WireJson
import org.buckthornhub.promotion.wire.MoveBody
import org.buckthornhub.target.TargetId
import org.kohsuke.args4j.Argument

/** `buckthornhub primary`: switches the primary of a group over to a replica. */
internal class PrimaryCommand : OperatorCommand() {
    @Argument(index = 0, metaVar = "move", usage = "what to do")
    var action: String = "move"

    @Argument(index = 1, metaVar = "GROUP", usage = "database group")
    var group: String? = null

    @Argument(index = 2, metaVar = "TARGET", usage = "replica that is to lead")
    var target: String? = null

    override val helpText: String = """
        buckthornhub primary move GROUP TARGET --daemon HOST:PORT

        move hands the group over to a replica without losing a write: new writes wait, those in flight end, the
        replica takes over every position, and only then does it lead. If the replica is not there within 2 s, the
        old primary goes on. Repeating the command once the replica leads changes nothing.
    """

    override suspend fun execute(): Int {
        val from = group
        val to = target
        if (action != "move" || from == null || to == null) return usageError("primary needs: move GROUP TARGET")
        val body = WireJson.encodeToString(MoveBody.serializer(), MoveBody(GroupId(from), TargetId(to)))
        return printResult(client.post("primary", body)) { answer ->
            val leadership = client.decode(GroupLeadership.serializer(), answer)
            "${leadership.primary} leads group ${leadership.group} in term ${leadership.term.value}"
        }
    }
}
