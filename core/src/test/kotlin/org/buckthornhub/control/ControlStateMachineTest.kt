package org.buckthornhub.control

import org.buckthornhub.group.GroupId
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Term
import org.buckthornhub.organisation.ApiKey
import org.buckthornhub.organisation.Grant
import org.buckthornhub.organisation.GrantList
import org.buckthornhub.organisation.KeyDigest
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.organisation.PlanId
import org.buckthornhub.organisation.PlanList
import org.buckthornhub.target.TargetId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class ControlStateMachineTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `commands lead to the expected outcome and revision`(case: MachineCase) {
        val (state, outcome) = applyAll(case.commands)
        assertEquals(case.expected, outcome)
        assertEquals(case.revision, state.control.revision)
    }

    @Test
    fun `the oldest outcomes are dropped and the newest are kept`() {
        val changes = (1..ControlStateMachine.REMEMBERED_OUTCOMES + 1).map { plans("c$it", it.toLong()) }
        val (state, _) = applyAll(changes)
        assertEquals(ControlStateMachine.REMEMBERED_OUTCOMES, state.outcomes.size)
        assertEquals(CommandOutcome.Accepted(2), ControlStateMachine.apply(state, changes[1]).second)
        assertTrue(ControlStateMachine.apply(state, changes[0]).second is CommandOutcome.Conflict)
    }

    private fun applyAll(commands: List<ControlCommand>) =
        commands.fold(MachineState() to (CommandOutcome.Accepted(0) as CommandOutcome)) { (state, _), command ->
            ControlStateMachine.apply(state, command)
        }

    private companion object {
        private val grant = Grant(ratePerSecond = 5.0, burst = 10, groups = setOf(GroupId("ledger")))

        private fun plans(id: String, number: Long, vararg plans: Pair<String, String>) = ControlCommand.ChangePlans(
            ChangeId(id),
            PlanList(number, plans.associate { (organisation, plan) -> OrganisationId(organisation) to PlanId(plan) }),
        )

        private fun grants(id: String, number: Long, vararg grants: Pair<String, Grant>) =
            ControlCommand.ChangeGrants(ChangeId(id), GrantList(number, grants.associate { (plan, grant) -> PlanId(plan) to grant }))

        private fun give(id: String, name: String, secret: String = id, organisation: String = "o") =
            ControlCommand.GiveKey(ChangeId(id), name, OrganisationId(organisation), KeyDigest.of(ApiKey(secret)))

        private fun lead(expected: Long, term: Long, primary: String = "t$term") = ControlCommand.SetLeadership(
            Term(expected),
            GroupLeadership(GroupId("g"), Term(term), TargetId(primary), LogPosition(7)),
        )

        private fun designate(expected: Long, target: String) = ControlCommand.DesignatePrimary(GroupId("g"), TargetId(target), expected)

        private fun conflict(text: String) = CommandOutcome.Conflict(text)

        private fun invalid(vararg faults: String) = CommandOutcome.Invalid(faults.toList())

        private val wrong = Grant(ratePerSecond = 0.0, burst = 0, groups = setOf(GroupId("")))
        private const val TAKEN = "change a made the list of plans number 1; the next one is 2, not 1"

        @JvmStatic
        fun cases(): List<MachineCase> = listOf(
            MachineCase("first list", listOf(plans("a", 1)), CommandOutcome.Accepted(1), 1),
            MachineCase("concurrent change with an equal number", listOf(plans("a", 1), plans("b", 1)), conflict(TAKEN), 1),
            MachineCase("identical concurrent change with another id", listOf(plans("a", 1), plans("a2", 1)), conflict(TAKEN), 1),
            MachineCase("resend", listOf(plans("a", 1), plans("a", 1)), CommandOutcome.Accepted(1), 1),
            MachineCase("resend after a later change", listOf(plans("a", 1), plans("b", 2), plans("a", 1)), CommandOutcome.Accepted(1), 2),
            MachineCase(
                "resend of the rejected change",
                listOf(plans("a", 1), plans("b", 1), plans("c", 2), plans("b", 1)),
                conflict(TAKEN),
                2,
            ),
            MachineCase(
                "number that skips the next one",
                listOf(plans("a", 5)),
                conflict("the list of plans is number 0; the next one is 1, not 5"),
                0,
            ),
            MachineCase(
                "all errors of a list of plans",
                listOf(plans("a", 1, "" to "p", "o" to "", "o2" to "q")),
                invalid(
                    "an organisation has an empty name",
                    "organisation  holds plan p, which the list of grants does not know",
                    "organisation o holds a plan with an empty name",
                    "organisation o2 holds plan q, which the list of grants does not know",
                ),
                0,
            ),
            MachineCase(
                "all errors of a list of grants",
                listOf(grants("g", 1, "p" to grant), plans("a", 1, "o" to "p"), grants("h", 2, "" to wrong)),
                invalid(
                    "a plan has an empty name",
                    "plan  has rate 0.0; it has to be above 0",
                    "plan  has burst 0; it has to be at least 1",
                    "plan  names a group with an empty name",
                    "plan p is missing, but organisation o holds it",
                ),
                2,
            ),
            MachineCase("key issued", listOf(give("k", "k1")), CommandOutcome.Accepted(1), 1),
            MachineCase(
                "name used twice",
                listOf(give("k", "k1"), give("l", "k1")),
                conflict("key k1 was given for organisation o; a name is used once"),
                1,
            ),
            MachineCase(
                "issued again after it was withdrawn",
                listOf(give("k", "k1"), ControlCommand.WithdrawKey("k1"), give("l", "k1")),
                conflict("key k1 was withdrawn for organisation o; a name is used once"),
                2,
            ),
            MachineCase(
                "a key given to another organisation under another name",
                listOf(give("k", "k1", "x"), give("l", "k2", "x", organisation = "p")),
                conflict("key k1 was given for organisation o; a name is used once"),
                1,
            ),
            MachineCase(
                "a withdrawn key given to another organisation under another name",
                listOf(give("k", "k1", "x"), ControlCommand.WithdrawKey("k1"), give("l", "k2", "x", organisation = "p")),
                conflict("key k1 was withdrawn for organisation o; a name is used once"),
                2,
            ),
            MachineCase(
                "resend of an issue does not undo the withdrawal",
                listOf(give("k", "k1"), ControlCommand.WithdrawKey("k1"), give("k", "k1"), ControlCommand.WithdrawKey("k1")),
                CommandOutcome.Accepted(2),
                2,
            ),
            MachineCase(
                "another key under the id of an accepted one",
                listOf(give("k", "k1", "x"), give("k", "k1", "y")),
                conflict("change k was accepted before, with another key or list"),
                1,
            ),
            MachineCase("withdrawal of an unknown key", listOf(ControlCommand.WithdrawKey("k1")), invalid("no key named k1 was given"), 0),
            MachineCase("leadership", listOf(lead(0, 1), lead(1, 2)), CommandOutcome.Accepted(2), 2),
            MachineCase("leadership twice", listOf(lead(0, 1), lead(0, 1)), CommandOutcome.Accepted(1), 1),
            MachineCase(
                "leadership with an outdated expected term",
                listOf(lead(0, 1), lead(0, 1, "x")),
                conflict("group g is in term 1, led by t1"),
                1,
            ),
            MachineCase("designation", listOf(designate(0, "t1"), designate(1, "t2")), CommandOutcome.Accepted(2), 2),
            MachineCase("designation twice", listOf(designate(0, "t1"), designate(0, "t1")), CommandOutcome.Accepted(1), 1),
            MachineCase(
                "designation by a leader that does not know the newest one",
                listOf(designate(0, "t1"), designate(0, "t2")),
                conflict("designation 1 of group g is t1"),
                1,
            ),
            MachineCase("leadership with a lower term", listOf(lead(0, 5), lead(5, 4)), invalid("term 4 is before 5"), 1),
        )
    }
}
