package org.buckthornhub.connection

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.buckthornhub.group.GroupId
import org.buckthornhub.routetable.RouteTable
import org.buckthornhub.statement.Access
import org.buckthornhub.target.TargetRole
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Transactions whose route leads to another group before their commit; the change applies from the next transaction on. */
internal class MovedRouteTest {
    @ParameterizedTest
    @ValueSource(strings = ["g", "h"])
    fun `a read sees the session's own commit, also if the route had moved away before the commit`(group: String) = runTest {
        val primary = FakeInstance("leader", TargetRole.PRIMARY, applied = 7)
        val replica = FakeInstance("replica", TargetRole.REPLICA, applied = 7)
        val fleet = FakeFleet(this, listOf(primary, replica)).also { it.start() }
        val caller = fleet.caller()
        caller.open("own", "key")
        connectToReplica(fleet)
        caller.ask(ClientStatement.Begin(readOnly = false))
        assertIs<ClientReply.Completed>(caller.ask(ClientStatement.Run(Access.WRITE, "WRITE 1 x")))
        fleet.change { inGroup(group) }
        assertIs<ClientReply.Completed>(caller.ask(ClientStatement.Commit))
        fleet.change { inGroup("g") }
        assertIs<ClientReply.Completed>(caller.ask(ClientStatement.Run(Access.READ, "READ 3")))
        assertEquals(listOf("READ 1", "READ 1", "WRITE 1 x", "READ 3"), primary.ran)
        assertEquals(listOf("READ 2"), replica.ran)
    }

    // Reads prefer a replica with an open connection; it is opened while the primary has none left.
    private suspend fun connectToReplica(fleet: FakeFleet) {
        val holders = List(CONNECTIONS) { fleet.caller() }
        holders.forEach { it.open("latest", "key") }
        holders.forEach { it.ask(ClientStatement.Begin(readOnly = false)) }
        holders.forEach { it.ask(ClientStatement.Run(Access.READ, "READ 1")) }
        val reader = fleet.caller()
        reader.open("bounded", "key")
        assertIs<ClientReply.Completed>(reader.ask(ClientStatement.Run(Access.READ, "READ 2")))
        holders.forEach { it.ask(ClientStatement.RollBack) }
        delay(10)
    }

    private fun RouteTable.inGroup(group: String) = copy(routes = routes.mapValues { it.value.copy(group = GroupId(group)) })

    private companion object {
        /** Connections that the daemon of the test may have to an instance. */
        const val CONNECTIONS = 2
    }
}
